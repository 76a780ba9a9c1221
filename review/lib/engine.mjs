// A stand-in for an engine, plain or with a model, as PROTOCOL.md describes it. What it does with a
// request is set by `work`; what it received and ran is recorded.
import http from "node:http";

const HEARTBEAT_MS = 1_200;

export class Engine {
  /** Requests that arrived, ran and were turned away, in order. */
  arrivals = [];
  runs = [];
  /** Headers that every answer carries, such as statements of the engine. */
  statements = {};
  state = "ready";
  /** async (call, response): copies a run to another engine; engines without it know no runs. */
  move = (call, response) => response.writeHead(404).end();
  fallsCount = 0;
  #sockets = new Set();
  #sequence = 0;
  #timer = null;
  #server = null;
  #port = 0;
  #bornMs = Date.now();
  #isDown = false;

  /**
   * @param work - async (call, response, engine): runs a request and answers it
   */
  constructor({ id, service, zone = "riga-a", slots, record, store, work }) {
    Object.assign(this, { id, service, zone, slots, record, store, work });
  }

  get port() {
    return this.#port;
  }

  get isDown() {
    return this.#isDown;
  }

  async start() {
    await this.#listen(0);
    this.#port = this.#server.address().port;
    this.register();
    this.#timer = setInterval(() => {
      if (!this.#isDown) this.register();
    }, HEARTBEAT_MS);
    return this;
  }

  /** Writes the engine's entry into the store. */
  register() {
    this.#sequence += 1;
    this.store.put("keyed.servers", this.id, this.entry());
  }

  entry() {
    return {
      service: this.service,
      address: `127.0.0.1:${this.#port}`,
      zone: this.zone,
      version: 1,
      slots: this.slots,
      state: this.state,
      cold_remaining_ms: 0,
      sequence: this.#sequence,
      born: this.#bornMs,
    };
  }

  /** Ends like a crashed process: resets its channels and refuses new ones; starts again later under a new id. */
  crash(downMs) {
    if (this.#isDown) return;
    this.#isDown = true;
    this.fallsCount += 1;
    this.record.write("engine", `${this.id} crashes`);
    this.#server.close();
    for (const socket of this.#sockets) socket.resetAndDestroy();
    const formerId = this.id;
    if (downMs === undefined) return;
    setTimeout(() => void this.#restart(formerId), downMs);
  }

  /** Exits after it has drained: its entry goes, its channels are reset, new ones are refused. */
  leave() {
    clearInterval(this.#timer);
    this.record.write("engine", `${this.id} exits`);
    this.store.put("keyed.servers", this.id, null);
    this.crash();
  }

  stop() {
    clearInterval(this.#timer);
    this.#isDown = true;
    this.#server?.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  /** Headers of an answer to a call. */
  headersFor(call) {
    return {
      "X-Attempt-Id": call.id,
      "X-Engine-Signature": `${this.id}.${call.id}`,
      ...this.statements,
    };
  }

  /** States that the engine has not run the request and will not. */
  turnAway(call, response, headers = {}) {
    this.record.write("engine", `${this.id} turns ${call.id} away, 503, not executed`);
    response.writeHead(503, {
      "X-Attempt-Id": call.id,
      "X-Not-Executed": "1",
      ...this.statements,
      ...headers,
    });
    response.end();
  }

  answer(call, response, status, body) {
    this.record.write("engine", `${this.id} answers ${call.id} with ${status}`);
    response.writeHead(status, {
      ...this.headersFor(call),
      "Content-Length": Buffer.byteLength(body),
    });
    response.end(body);
  }

  begin(call) {
    this.runs.push(call.id);
    this.record.write("engine", `${this.id} runs ${call.id}`);
  }

  async #restart(formerId) {
    this.store.put("keyed.servers", formerId, null);
    this.id = `${formerId.split(".")[0]}.${this.fallsCount}`;
    this.#bornMs = Date.now();
    this.#sequence = 0;
    await this.#listen(this.#port);
    this.#isDown = false;
    this.register();
    this.record.write("engine", `${this.id} has started`);
  }

  async #listen(port) {
    const server = http.createServer((request, response) => void this.#handle(request, response));
    server.on("connection", (socket) => {
      this.#sockets.add(socket);
      socket.on("error", () => undefined);
      socket.once("close", () => this.#sockets.delete(socket));
    });
    this.#server = server;
    await new Promise((resolve) => server.listen(port, "127.0.0.1", resolve));
  }

  async #handle(request, response) {
    const chunks = [];
    try {
      for await (const chunk of request) chunks.push(chunk);
    } catch {
      return;
    }
    const { headers, method, url } = request;
    const call = {
      id: headers["x-attempt-id"] ?? "",
      method,
      path: url,
      headers,
      body: Buffer.concat(chunks),
    };
    if (method === "GET" && url === "/report") {
      response.writeHead(200, { "Content-Type": "application/json" });
      response.end(JSON.stringify({ phase: "combined", models: [], busy: false, sequence: 0 }));
      return;
    }
    if (url === "/kv-move") {
      await this.move(call, response);
      return;
    }
    const from =
      headers["kv-from"] === undefined ? "" : `, kv-from after ${headers["last-event-id"]}`;
    this.record.write("engine", `${this.id} receives ${call.id}${from}`);
    this.arrivals.push({ id: call.id, atMs: Date.now(), headers });
    const expected = headers["x-expect-instance"];
    if (expected !== undefined && expected !== this.id) {
      this.record.write("engine", `${this.id} is not ${expected}, answers ${call.id} with 421`);
      response.writeHead(421, { "X-Attempt-Id": call.id }).end();
      return;
    }
    await this.work(call, response, this);
  }
}

/** Resolves after a time. */
export function pause(ms) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Runs a generation: a stream of events with increasing ids, one after each gap. */
export async function writeEvents(
  call,
  response,
  engine,
  { eventsCount, gapMs, firstMs = gapMs, onEvent = () => undefined },
) {
  const after = Number(call.headers["last-event-id"] ?? 0);
  response.writeHead(200, { ...engine.headersFor(call), "Content-Type": "text/event-stream" });
  response.flushHeaders();
  await pause(firstMs);
  for (let id = after + 1; id <= eventsCount; id += 1) {
    if (response.destroyed || engine.isDown) return false;
    response.write(`id: ${id}\ndata: ${call.id} ${id}\n\n`);
    onEvent(id);
    await pause(gapMs);
  }
  if (response.destroyed) return false;
  response.end();
  engine.record.write("engine", `${engine.id} has finished ${call.id}`);
  return true;
}

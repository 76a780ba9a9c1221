// A stand-in of an engine (PROTOCOL.md, "Engines" and "Service discovery"): registers itself in the store,
// writes there every `heartbeat_ms`, and answers requests by a behaviour that the case sets.
import * as http from "node:http";

const HEARTBEAT_MS = 1_200;

/** One engine; a start after a crash is a new incarnation at the same address. */
export class Engine {
  sequence = 0;
  sockets = new Set();
  arrivals = [];
  runs = [];
  isUp = false;
  isListed = true;
  state = "ready";

  constructor({ id, service, store, record, host, behaviour, slots = 24, zone = "zone-a" }) {
    Object.assign(this, { id, service, store, record, host, behaviour, slots, zone });
  }

  async start(port = 0) {
    this.born = Date.now();
    this.sequence = 0;
    this.server = http.createServer((request, response) => this.handle(request, response));
    this.server.on("connection", (socket) => {
      this.sockets.add(socket);
      socket.on("error", () => undefined);
      socket.once("close", () => this.sockets.delete(socket));
    });
    await new Promise((resolve) => this.server.listen(port, this.host, resolve));
    this.port = this.server.address().port;
    this.isUp = true;
    this.beat();
    this.timer = setInterval(() => this.beat(), HEARTBEAT_MS);
  }

  get address() {
    return `${this.host}:${this.port}`;
  }

  entry() {
    return {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: "v1",
      slots: this.slots,
      state: this.state,
      cold_remaining_ms: 0,
      phase: "combined",
      models: [{ name: "m", version: 1, adapters: [] }],
      born: this.born,
      sequence: this.sequence,
    };
  }

  beat() {
    if (!this.isUp || !this.isListed) return;
    this.sequence += 1;
    this.store.put("keyed.servers", this.id, this.entry());
  }

  /** Ends as a killed process does: its connections are reset and new ones refused. */
  crash() {
    if (!this.isUp) return;
    this.isUp = false;
    clearInterval(this.timer);
    this.server.close();
    for (const socket of this.sockets) socket.resetAndDestroy();
    this.record("engine", `${this.id} crashes`, {});
  }

  async restart() {
    await this.start(this.port);
    this.record("engine", `${this.id} is back`, {});
  }

  stop() {
    this.isUp = false;
    clearInterval(this.timer);
    this.server?.close();
    for (const socket of this.sockets) socket.destroy();
  }

  async handle(request, response) {
    const chunks = [];
    try {
      for await (const chunk of request) chunks.push(chunk);
    } catch {
      return;
    }
    const call = {
      id: request.headers["x-attempt-id"] ?? "",
      method: request.method,
      target: request.url,
      headers: request.headers,
      body: Buffer.concat(chunks),
      from: request.socket.remoteAddress,
    };
    this.arrivals.push(call);
    this.record("engine", `request reaches ${this.id}`, { attempt: call.id, target: call.target });
    const expected = call.headers["x-expect-instance"];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { "X-Attempt-Id": call.id }).end();
      return;
    }
    await this.behaviour(call, response, this);
  }

  /** Records that the request has begun to run. */
  run(call) {
    this.runs.push({ attempt: call.id, atMs: Date.now() });
    this.record("engine", `${this.id} runs a request`, { attempt: call.id });
  }

  headers(call) {
    return { "X-Attempt-Id": call.id, "X-Engine-Signature": `${this.id}.${call.id}` };
  }

  /** Runs a request and answers it with a body after a time. */
  async answer(call, response, body, workMs = 0, status = 200) {
    this.run(call);
    await sleep(workMs);
    if (response.destroyed) return;
    response.writeHead(status, { ...this.headers(call), "Content-Length": body.length });
    response.end(body);
  }

  /** Runs a generation and streams its events. */
  async stream(call, response, { count, gapMs }) {
    this.run(call);
    response.writeHead(200, { ...this.headers(call), "Content-Type": "text/event-stream" });
    const first = Number(call.headers["last-event-id"] ?? 0) + 1;
    for (let id = first; id <= count; id += 1) {
      if (response.destroyed) return;
      response.write(`id: ${id}\ndata: ${call.id}-${id}\n\n`);
      await sleep(gapMs);
    }
    response.end();
  }

  /** Turns a request away unrun, as a full engine does. */
  refuse(call, response, headers = {}) {
    response.writeHead(503, { "X-Attempt-Id": call.id, "X-Not-Executed": "1", ...headers }).end();
  }
}

export function sleep(ms) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

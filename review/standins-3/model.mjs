// Model engines in the process of a case, which keep copies of each other's runs and move them.
import * as http from "node:http";

const NOT_RUN = { "X-Not-Executed": "1" };
const COPY_INTERVAL_MS = 100;

const pause = (durationMs) => new Promise((resolve) => setTimeout(resolve, durationMs));

/** Engines by address, as IP:PORT. */
export class ModelPool {
  engines = new Map();
  /** Spans in which an engine worked on an attempt, with the number of events it had made at the end. */
  spans = [];

  async add(id, options) {
    const engine = await new ModelEngine(this, id, options).start("127.0.0.1");
    this.engines.set(engine.address, engine);
    return engine;
  }
}

class ModelEngine {
  #runs = new Map();
  /** Copies of other engines' runs: the events that they had made, by attempt or handle. */
  #copies = new Map();
  #handlesCount = 0;
  #http = http.createServer((request, response) => void this.#handle(request, response));

  /**
   * @param options - number of events of a stream, their interval, whether a closed channel ends a run, and whether there
   *   is no room for the part of a run's memory that is new since its first copy
   */
  constructor(pool, id, options) {
    Object.assign(this, { pool, id, options });
  }

  async start(host) {
    await new Promise((resolve) => this.#http.listen(0, host, resolve));
    this.address = `${host}:${this.#http.address().port}`;
    return this;
  }

  stop() {
    this.#http.close();
    this.#http.closeAllConnections();
  }

  async #handle(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const { headers, method, url } = request;
    const id = headers["x-attempt-id"] ?? "";
    const refuse = (status) => response.writeHead(status, { "X-Attempt-Id": id, ...NOT_RUN }).end();
    if (method === "GET") response.writeHead(200, { "X-Instance-Id": this.id }).end();
    else if (url === "/kv-move") await this.#move(JSON.parse(Buffer.concat(chunks)), response);
    else if ((headers["x-expect-instance"] ?? this.id) !== this.id) refuse(421);
    else if (headers["kv-from"] === undefined) await this.#run(id, headers, response, 0);
    else if (!this.#takeCopy(headers["kv-from"])) refuse(503);
    else await this.#run(id, headers, response, Number(headers["last-event-id"]));
  }

  /** Uses up the copy that a continuation names: a backup kept here, or what another engine moved here. */
  #takeCopy(source) {
    return this.#copies.delete(source);
  }

  async #run(id, headers, response, lastEventId) {
    const run = { isStopped: false, eventsCount: lastEventId };
    const span = {
      id,
      engine: this.id,
      fromMs: Date.now(),
      toMs: null,
      firstEvent: lastEventId + 1,
    };
    this.#runs.set(id, run);
    this.pool.spans.push(span);
    response.writeHead(200, {
      ...{ "X-Attempt-Id": id, "X-Engine-Signature": `${this.id}.${id}` },
      "Content-Type": "text/event-stream",
    });
    const backup = this.pool.engines.get(headers["x-kv-backup"]);
    const copies = backup && setInterval(() => backup.keepBackup(id, run), COPY_INTERVAL_MS);
    while (run.eventsCount < this.options.eventsCount && !run.isStopped) {
      await pause(this.options.gapMs);
      if (response.destroyed && this.options.dropsClosed) break;
      run.eventsCount += 1;
      if (!response.destroyed)
        response.write(`id: ${run.eventsCount}\ndata: ${id}-${run.eventsCount}\n\n`);
    }
    clearInterval(copies);
    span.toMs = Date.now();
    this.#runs.delete(id);
    if (run.isStopped) response.destroy();
    else response.end();
  }

  /** Keeps a copy of another engine's run as it grows. */
  keepBackup(id, { eventsCount }) {
    this.#copies.set(`${this.address}/${id}`, eventsCount);
  }

  keepMoved(handle, eventsCount) {
    this.#copies.set(handle, eventsCount);
  }

  async #move({ id, target, last }, response) {
    const run = this.#runs.get(id);
    const other = this.pool.engines.get(target);
    if (run === undefined || other === undefined) {
      response.writeHead(run === undefined ? 404 : 503).end();
      return;
    }
    if (last) run.isStopped = true;
    await pause(COPY_INTERVAL_MS);
    const handle = `h${(this.#handlesCount += 1)}`;
    const body = JSON.stringify({ kv_handle: handle, created: run.eventsCount });
    if (last && other.options.isFull === true) {
      // The run is stopped, and its memory is kept here.
      this.#copies.set(`${this.address}/${handle}`, run.eventsCount);
      response.writeHead(503, { "Content-Type": "application/json" }).end(body);
      return;
    }
    other.keepMoved(`${this.address}/${handle}`, run.eventsCount);
    response.writeHead(200, { "Content-Type": "application/json" }).end(body);
  }
}

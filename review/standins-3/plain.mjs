// A plain engine: runs each request for a while and answers it; a behaviour may answer otherwise.
import * as http from "node:http";

const WORK_MS = 20;

export class PlainEngine {
  /** Ids of the attempts that it has begun to run, in order. */
  runs = [];
  #http = http.createServer((request, response) => void this.#handle(request, response));

  /** @param answer - writes the answer to a request that has run; by default a success */
  constructor(id, answer = succeed, workMs = WORK_MS) {
    Object.assign(this, { id, answer, workMs });
  }

  async start(host) {
    this.host = host;
    await new Promise((resolve) => this.#http.listen(0, host, resolve));
    this.port = this.#http.address().port;
    return this;
  }

  stop() {
    this.#http.close();
    this.#http.closeAllConnections();
  }

  async #handle(request, response) {
    for await (const chunk of request) void chunk;
    const { headers, method, url } = request;
    const attemptId = headers["x-attempt-id"] ?? "";
    if (method === "GET" && url === "/healthz") {
      response.writeHead(200, { "X-Instance-Id": this.id }).end();
    } else if ((headers["x-expect-instance"] ?? this.id) !== this.id) {
      response.writeHead(421, { "X-Instance-Id": this.id, "X-Not-Executed": "1" }).end();
    } else {
      this.runs.push(attemptId);
      await new Promise((resolve) => setTimeout(resolve, this.workMs));
      if (!response.destroyed) this.answer({ id: attemptId, headers, url }, response, this);
    }
  }
}

/** Writes an answer with the engine's receipt. */
export function sendAnswer({ id }, response, engine, status, body) {
  response.writeHead(status, {
    ...{ "X-Attempt-Id": id, "X-Engine-Signature": `${engine.id}.${id}` },
    "Content-Length": Buffer.byteLength(body),
  });
  response.end(body);
}

export function succeed(request, response, engine) {
  sendAnswer(request, response, engine, 200, `answer to ${request.id}`);
}

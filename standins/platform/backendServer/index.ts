import * as http from "node:http";
import type * as net from "node:net";

import * as names from "../../../platform/names/index.js";

const { HEADERS } = names;

/** A call as a server received it. */
export interface ReceivedCall {
  readonly id: string;
  readonly method: string;
  readonly target: string;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: Buffer;
}

/** What a server does with one call. */
export type Behaviour = (
  call: ReceivedCall,
  response: http.ServerResponse,
  server: BackendServer,
) => void | Promise<void>;

/** A backend server, plain or with a model engine, that does with calls what it is told. */
export class BackendServer implements AsyncDisposable {
  /** Calls that began to run, by the attempt's id. */
  readonly runs: string[] = [];
  /** Calls in the order in which they came. */
  readonly calls: ReceivedCall[] = [];
  private behaviour: Behaviour = answerWhole("ok");
  private readonly http = http.createServer((request, response) => {
    void this.handle(request, response);
  });

  constructor(readonly id: string) {}

  get port(): number {
    return (this.http.address() as net.AddressInfo).port;
  }

  async start(): Promise<void> {
    await new Promise<void>((resolve) => this.http.listen(0, "127.0.0.1", resolve));
  }

  /** Changes what is done with the calls that follow. */
  behave(behaviour: Behaviour): void {
    this.behaviour = behaviour;
  }

  /** Headers of an answer to a call. */
  answerHeaders(call: ReceivedCall): http.OutgoingHttpHeaders {
    return { [HEADERS.requestId]: call.id, [HEADERS.signature]: `${this.id}.${call.id}` };
  }

  async [Symbol.asyncDispose](): Promise<void> {
    const closed = new Promise<void>((resolve) => this.http.close(() => resolve()));
    this.http.closeAllConnections();
    await closed;
  }

  private async handle(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk as Buffer);
    const call: ReceivedCall = {
      id: String(request.headers[HEADERS.requestId.toLowerCase()] ?? ""),
      method: request.method ?? "",
      target: request.url ?? "",
      headers: request.headers,
      body: Buffer.concat(chunks),
    };
    if (call.target === names.ENGINE_PATHS.move) {
      // This stand-in moves no memory.
      response.writeHead(404).end();
      return;
    }
    this.calls.push(call);
    const expected = request.headers[HEADERS.expectedServer.toLowerCase()];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { [HEADERS.requestId]: call.id }).end();
      return;
    }
    await this.behaviour(call, response, this);
  }
}

/** Runs the call and answers it whole. */
export function answerWhole(body: string, status = 200): Behaviour {
  return (call, response, server) => {
    server.runs.push(call.id);
    const length = Buffer.byteLength(body);
    response.writeHead(status, { ...server.answerHeaders(call), "Content-Length": length });
    response.end(body);
  };
}

/** States that the call was not run. */
export function refuse(): Behaviour {
  return (call, response) => {
    response.writeHead(503, { [HEADERS.requestId]: call.id, [HEADERS.notRun]: "1" }).end();
  };
}

/** Runs the call and breaks off without an answer. */
export function breakOff(): Behaviour {
  return (call, response, server) => {
    server.runs.push(call.id);
    response.socket?.resetAndDestroy();
  };
}

/** Runs the call, and never answers. */
export function staySilent(): Behaviour {
  return (call, _response, server) => {
    server.runs.push(call.id);
  };
}

/** Begins an answer that ends with its connection, and resets it midway. */
export function resetUnframed(part: string): Behaviour {
  return (call, response, server) => {
    server.runs.push(call.id);
    response.useChunkedEncodingByDefault = false;
    response.writeHead(200, { ...server.answerHeaders(call), Connection: "close" });
    response.write(part, () => response.socket?.resetAndDestroy());
  };
}

/** Options of a stream. */
export interface StreamScript {
  readonly eventsCount: number;
  /** Pause between two events. */
  readonly gapMs: number;
  /** After this event the connection is reset; never where it is null. */
  readonly resetAfter?: number;
}

/** Runs a generation and streams its events; one that goes on begins after the last event named. */
export function stream(script: StreamScript): Behaviour {
  return async (call, response, server) => {
    server.runs.push(call.id);
    const lastEventId = Number(call.headers[HEADERS.lastEventId.toLowerCase()] ?? 0);
    response.writeHead(200, {
      ...server.answerHeaders(call),
      "Content-Type": "text/event-stream",
    });
    for (let id = lastEventId + 1; id <= script.eventsCount; id += 1) {
      if (response.destroyed) return;
      response.write(`id: ${id}\ndata: ${call.id}-${id}\n\n`);
      await new Promise((resolve) => setTimeout(resolve, script.gapMs));
      if (id === script.resetAfter) {
        response.socket?.resetAndDestroy();
        return;
      }
    }
    response.end();
  };
}

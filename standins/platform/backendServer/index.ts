import * as http from "node:http";
import type * as net from "node:net";

import * as resetSockets from "../../../src/_lib/resetSocket/index.js";
import * as names from "../../../platform/names/index.js";

const { HEADERS } = names;

/** A request as a backend server received it. */
export interface ReceivedCall {
  readonly id: string;
  readonly method: string;
  readonly target: string;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: Buffer;
}

/** How a backend server handles a request: writes the answer, or breaks the connection. */
export type Behaviour = (
  call: ReceivedCall,
  response: http.ServerResponse,
  server: BackendServer,
) => void | Promise<void>;

/** A stand-in backend server, plain or with a model engine, whose behaviour tests set. */
export class BackendServer implements AsyncDisposable {
  /** Ids of the attempts that began to run. */
  readonly runs: string[] = [];
  /** Received requests in order of arrival, except those to transfer memory. */
  readonly calls: ReceivedCall[] = [];
  /** Limit of requests a second from all VMs, which each answer names; null for none. */
  ratePerSecond: number | null = null;
  /** Rejections a second above which the server crashes, stated in each answer; null for no limit. */
  maxRejectionsPerSecond: number | null = null;
  /** Number of crashes caused by too many rejections. */
  overloadCrashesCount = 0;
  /** Handles requests to transfer the memory of a run; by default the server knows no run. */
  transferMemory: Behaviour = (_call, response) => void response.writeHead(404).end();
  /** Whether each answer states that the server leaves. */
  isLeaving = false;
  private isDisposed = false;
  private behaviour: Behaviour = answerCompletely("ok");
  private readonly sockets = new Set<net.Socket>();
  private readonly http = http.createServer((request, response) => {
    void this.handle(request, response);
  });

  constructor(readonly id: string) {
    this.http.on("connection", (socket) => {
      this.sockets.add(socket);
      socket.once("close", () => this.sockets.delete(socket));
    });
  }

  /** The port on which the server listens. */
  get port(): number {
    return (this.http.address() as net.AddressInfo).port;
  }

  /** Listens on a free loopback port. */
  async start(): Promise<void> {
    await new Promise<void>((resolve) => this.http.listen(0, "127.0.0.1", resolve));
  }

  /** Sets the behaviour for subsequent requests. */
  setBehaviour(behaviour: Behaviour): void {
    this.behaviour = behaviour;
  }

  /** Ends like a process that is killed: resets its connections, or closes them in order, and refuses new ones. */
  crash(closesInOrder = false): void {
    this.http.close();
    for (const socket of this.sockets)
      if (closesInOrder) socket.destroy();
      else resetSockets.resetSocket(socket);
  }

  /** Crashes, and restarts at the same address after a while. */
  async crashAndRestart(downMs: number): Promise<void> {
    this.overloadCrashesCount += 1;
    const { port } = this;
    this.crash();
    await new Promise((resolve) => setTimeout(resolve, downMs));
    if (!this.isDisposed) this.http.listen(port, "127.0.0.1");
  }

  /** Creates the headers of an answer to a request. */
  createAnswerHeaders(call: ReceivedCall): http.OutgoingHttpHeaders {
    return {
      [HEADERS.requestId]: call.id,
      [HEADERS.signature]: `${this.id}.${call.id}`,
      ...(this.ratePerSecond === null ? {} : { [HEADERS.rateLimit]: String(this.ratePerSecond) }),
      ...(this.maxRejectionsPerSecond === null
        ? {}
        : { [HEADERS.brittle]: String(this.maxRejectionsPerSecond) }),
      ...(this.isLeaving ? { [HEADERS.leaving]: "1" } : {}),
    };
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.isDisposed = true;
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
      await this.transferMemory(call, response, this);
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

/** Runs the request and sends a complete answer. */
export function answerCompletely(body: string, status = 200): Behaviour {
  return (call, response, server) => {
    server.runs.push(call.id);
    sendAnswer(body, call, response, server, status);
  };
}

/** Sends a complete answer. */
export function sendAnswer(
  body: string,
  call: ReceivedCall,
  response: http.ServerResponse,
  server: BackendServer,
  status = 200,
): void {
  const length = Buffer.byteLength(body);
  response.writeHead(status, { ...server.createAnswerHeaders(call), "Content-Length": length });
  response.end(body);
}

/** Refuses the request with 503 and states that it was not run, and when to come back if given. */
export function refuse(retryAfterS?: number): Behaviour {
  return (call, response) => {
    const retryAfter = retryAfterS === undefined ? {} : { [HEADERS.retryAfter]: retryAfterS };
    const headers = { [HEADERS.requestId]: call.id, [HEADERS.notRun]: "1", ...retryAfter };
    response.writeHead(503, headers).end();
  };
}

/** Runs the request and resets the connection without an answer. */
export function resetWithoutAnswer(): Behaviour {
  return (call, response, server) => {
    server.runs.push(call.id);
    response.socket?.resetAndDestroy();
  };
}

/** Runs the request and never answers. */
export function neverAnswer(): Behaviour {
  return (call, _response, server) => {
    server.runs.push(call.id);
  };
}

/** Begins an answer without a length, which only the connection's close would end, and resets the connection. */
export function resetMidAnswer(part: string): Behaviour {
  return (call, response, server) => {
    server.runs.push(call.id);
    response.useChunkedEncodingByDefault = false;
    response.writeHead(200, { ...server.createAnswerHeaders(call), Connection: "close" });
    response.write(part, () => response.socket?.resetAndDestroy());
  };
}

/** Length and timing of an event stream, and where it breaks. */
export interface StreamScript {
  readonly eventsCount: number;
  /** Pause after each event, in milliseconds. */
  readonly gapMs: number;
  /** Id of the event after which the connection is reset; if omitted, it is not reset. */
  readonly resetAfter?: number;
}

/** Runs a generation and streams its events, starting after the request's last event id if there is one. */
export function stream(script: StreamScript): Behaviour {
  return async (call, response, server) => {
    server.runs.push(call.id);
    const lastEventId = Number(call.headers[HEADERS.lastEventId.toLowerCase()] ?? 0);
    response.writeHead(200, {
      ...server.createAnswerHeaders(call),
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

/** An event stream that breaks at a byte. */
export interface BrokenStreamScript {
  readonly eventsCount: number;
  /** Number of bytes of the body after which the connection is reset. */
  readonly cutAtByte: number;
}

/** The events of the stream of `breakAtByte`, as bytes. */
export function eventBytesOf(eventsCount: number, lastEventId = 0): readonly Buffer[] {
  return Array.from({ length: Math.max(0, eventsCount - lastEventId) }, (_, index) =>
    Buffer.from(`id: ${lastEventId + index + 1}\ndata: piece\n\n`),
  );
}

/** Runs a generation, sends a part of its events' bytes, and resets the connection. */
export function breakAtByte({ eventsCount, cutAtByte }: BrokenStreamScript): Behaviour {
  return async (call, response, server) => {
    server.runs.push(call.id);
    const lastEventId = Number(call.headers[HEADERS.lastEventId.toLowerCase()] ?? 0);
    response.writeHead(200, {
      ...server.createAnswerHeaders(call),
      "Content-Type": "text/event-stream",
    });
    response.flushHeaders();
    const body = Buffer.concat(eventBytesOf(eventsCount, lastEventId));
    const part = body.subarray(0, cutAtByte);
    if (part.length > 0) await new Promise((resolve) => response.write(part, resolve));
    // Lets the bytes arrive, as a reset discards what is still on its way.
    await new Promise((resolve) => setTimeout(resolve, 5));
    response.socket?.resetAndDestroy();
  };
}

/** Begins an answer, and crashes the server a little later. */
export function crashAfterBegin(delayMs: number): Behaviour {
  return async (call, response, server) => {
    server.runs.push(call.id);
    response.writeHead(200, {
      ...server.createAnswerHeaders(call),
      "Content-Type": "text/event-stream",
    });
    response.flushHeaders();
    await new Promise((resolve) => setTimeout(resolve, delayMs));
    server.crash();
  };
}

/** Runs the request, and crashes the server without an answer a little later. */
export function crashWithoutAnswer(delayMs: number): Behaviour {
  return async (call, _response, server) => {
    server.runs.push(call.id);
    await new Promise((resolve) => setTimeout(resolve, delayMs));
    server.crash();
  };
}

/** Runs the request for a while, and then sends a complete answer. */
export function answerLater(body: string, delayMs: number): Behaviour {
  return async (call, response, server) => {
    await new Promise((resolve) => setTimeout(resolve, delayMs));
    if (!response.destroyed) await answerCompletely(body)(call, response, server);
  };
}

/** How an answer's head says where the body ends. */
export enum Framing {
  Chunked = "chunked",
  /** Neither a length nor chunks: the body ends with the connection. */
  None = "none",
}

/** Runs the request and sends an answer in the given framing, which ends in order. */
export function answerFramed(body: string, framing: Framing): Behaviour {
  return (call, response, server) => {
    server.runs.push(call.id);
    response.useChunkedEncodingByDefault = framing === Framing.Chunked;
    const connection = framing === Framing.None ? { Connection: "close" } : {};
    response.writeHead(200, { ...server.createAnswerHeaders(call), ...connection });
    response.end(body);
  };
}

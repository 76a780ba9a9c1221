import * as http from "node:http";

import * as names from "../../../platform/names/index.js";

/** An answer as a caller received it. */
export interface CallerAnswer {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
  /** Whether the answer was received completely. */
  readonly isComplete: boolean;
}

/** A request as a caller sends it; what is omitted has a default. */
export interface CallerRequest {
  readonly path: string;
  readonly method?: string;
  readonly id?: string;
  /** By default API_KEY; null sends none. */
  readonly apiKey?: string | null;
  readonly body?: string;
  readonly timeLeftMs?: number;
  readonly headers?: http.OutgoingHttpHeaders;
  readonly signal?: AbortSignal;
  /** Connections to use; by default a new one. */
  readonly agent?: http.Agent;
  /** Time between the first and the last byte of the body. */
  readonly bodyTimeMs?: number;
  /** Closes the connection once the answer holds as many events. */
  readonly stopAfterEventsCount?: number;
}

/** Host name of all routes in the fleet's configuration. */
export const HOST = "a.example";

/** API key of the only client account. */
export const API_KEY = "key-1";

/** Sends a request to a gateway on loopback; resolves when the answer ends, rejects if none begins. */
export function sendRequest(port: number, options: CallerRequest): Promise<CallerAnswer> {
  const { HEADERS } = names;
  const headers: http.OutgoingHttpHeaders = {
    Host: HOST,
    [HEADERS.requestId]: options.id ?? "attempt-1",
    [HEADERS.timeLeftMs]: String(options.timeLeftMs ?? 20_000),
    ...(options.apiKey === null ? {} : { [HEADERS.apiKey]: options.apiKey ?? API_KEY }),
    ...options.headers,
  };
  const { method = "GET", path, signal, stopAfterEventsCount = Infinity } = options;
  return new Promise((resolve, reject) => {
    const outgoing = http.request({
      host: "127.0.0.1",
      port,
      method,
      path,
      headers,
      agent: options.agent ?? false,
      ...(signal === undefined ? {} : { signal }),
    });
    outgoing.on("error", reject);
    outgoing.on("response", (message) => {
      const chunks: Buffer[] = [];
      message.on("data", (chunk: Buffer) => {
        chunks.push(chunk);
        const eventsCount = Buffer.concat(chunks).toString().split("\n\n").length - 1;
        if (eventsCount >= stopAfterEventsCount) outgoing.destroy();
      });
      message.on("error", () => undefined);
      message.on("close", () => {
        const body = Buffer.concat(chunks).toString();
        const status = message.statusCode ?? 0;
        resolve({ status, headers: message.headers, body, isComplete: message.complete });
      });
    });
    const { body = "", bodyTimeMs = 0 } = options;
    if (bodyTimeMs === 0) {
      outgoing.end(options.body);
      return;
    }
    outgoing.write(body.slice(0, 1));
    const bodyTimer = setTimeout(() => outgoing.end(body.slice(1)), bodyTimeMs);
    outgoing.on("close", () => clearTimeout(bodyTimer));
  });
}

import * as http from "node:http";
import * as https from "node:https";

import Wreck from "@hapi/wreck";
import * as neverthrow from "neverthrow";

import * as stepError from "../stepError/index.js";
import * as transmissions from "./transmission.js";

/** Time to open a connection before it counts as unreachable. */
const DEFAULT_CONNECT_TIMEOUT_MS = 2_000;

/** Largest whole answer that is read. */
const DEFAULT_MAX_ANSWER_BYTES = 16_777_216;

/** One request to another party. */
export interface HttpRequest {
  readonly method: string;
  readonly url: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string | Buffer;
  /** Bound on the whole exchange; none where left out. */
  readonly timeoutMs?: number;
  readonly signal?: AbortSignal;
  /** Avoids pooled connections, any of which may have gone silent. */
  readonly isNewConnection?: boolean;
}

/** A whole answer. */
export interface HttpAnswer {
  readonly statusCode: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: Buffer;
}

/** Whom a connector talks to, and how its failures are named. */
export interface HttpConnectorOptions {
  readonly peer: string;
  readonly failureCode: stepError.ErrorCode;
  readonly connectTimeoutMs?: number;
}

interface Pool {
  readonly kept: http.Agent;
  readonly single: http.Agent;
}

const POOL_FACTORIES: Readonly<Record<string, () => Pool>> = {
  "http:": () => ({ kept: new http.Agent({ keepAlive: true }), single: new http.Agent() }),
  "https:": () => ({ kept: new https.Agent({ keepAlive: true }), single: new https.Agent() }),
};

/** Owns the connections to one party and makes requests over them. */
export class HttpConnector implements Disposable {
  private readonly pools = new Map<string, Pool>();

  constructor(private readonly options: HttpConnectorOptions) {}

  /**
   * Makes a request and reads the whole answer, whatever its status.
   *
   * @returns an error with execution `not-run` only where no connection carried the request
   */
  async exchange(
    step: string,
    request: HttpRequest,
  ): Promise<neverthrow.Result<HttpAnswer, stepError.StepError>> {
    const transmission = new transmissions.Transmission(request.timeoutMs, request.signal);
    try {
      const response = await this.send(request, transmission);
      const body = await Wreck.read(response, { maxBytes: DEFAULT_MAX_ANSWER_BYTES });
      const { statusCode = 0, headers } = response;
      return neverthrow.ok({ statusCode, headers, body });
    } catch (error) {
      return neverthrow.err(this.failure(step, transmission, error));
    } finally {
      transmission[Symbol.dispose]();
    }
  }

  /**
   * Makes a request and returns as soon as the answer's headers are there. The signal goes on to
   * bound the body; a timeout does not.
   */
  async open(
    step: string,
    request: HttpRequest,
  ): Promise<neverthrow.Result<http.IncomingMessage, stepError.StepError>> {
    const transmission = new transmissions.Transmission(request.timeoutMs, request.signal);
    try {
      const response = await this.send(request, transmission);
      transmission.stopTimer();
      response.once("close", () => transmission[Symbol.dispose]());
      return neverthrow.ok(response);
    } catch (error) {
      transmission[Symbol.dispose]();
      return neverthrow.err(this.failure(step, transmission, error));
    }
  }

  [Symbol.dispose](): void {
    for (const pool of this.pools.values()) {
      pool.kept.destroy();
      pool.single.destroy();
    }
    this.pools.clear();
  }

  private send(
    request: HttpRequest,
    transmission: transmissions.Transmission,
  ): Promise<http.IncomingMessage> {
    const pool = this.poolFor(request.url);
    const sending = Wreck.request(request.method, request.url, {
      agent: request.isNewConnection === true ? pool.single : pool.kept,
      ...(request.headers === undefined ? {} : { headers: { ...request.headers } }),
      ...(request.body === undefined ? {} : { payload: request.body }),
    });
    const { connectTimeoutMs = DEFAULT_CONNECT_TIMEOUT_MS } = this.options;
    transmission.watch(sending.req, connectTimeoutMs);
    return sending;
  }

  private failure(
    step: string,
    transmission: transmissions.Transmission,
    error: unknown,
  ): stepError.StepError {
    if (transmission.isTimedOut) this.dropIdleConnections();
    const cause = transmission.reason ?? error;
    const execution = transmission.hasLeft
      ? stepError.ExecutionState.Unknown
      : stepError.ExecutionState.NotRun;
    const message = cause instanceof Error ? cause.message : String(cause);
    const { failureCode: code, peer } = this.options;
    return new stepError.StepError(message, { code, step, peer, execution, cause });
  }

  /** After a timeout, pooled connections may be as silent as the one that was given up. */
  private dropIdleConnections(): void {
    for (const pool of this.pools.values()) {
      const idle = Object.values(pool.kept.freeSockets).flatMap((sockets) => sockets ?? []);
      for (const socket of idle) socket.destroy();
    }
  }

  private poolFor(url: string): Pool {
    const { protocol } = new URL(url);
    const known = this.pools.get(protocol);
    if (known !== undefined) return known;
    const create = POOL_FACTORIES[protocol];
    if (create === undefined) throw new Error(`no way to connect to ${url}`);
    const pool = create();
    this.pools.set(protocol, pool);
    return pool;
  }
}

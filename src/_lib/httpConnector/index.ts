import * as http from "node:http";
import * as https from "node:https";

import Wreck from "@hapi/wreck";
import * as neverthrow from "neverthrow";

import * as answerFaults from "../findAnswerFault/index.js";
import * as stepError from "../stepError/index.js";
import * as transmissions from "./transmission.js";

/** Timeout of opening a connection, in milliseconds. */
const DEFAULT_CONNECT_TIMEOUT_MS = 2_000;

/** Maximum size of the body of an answer that is read completely: 16 MiB. */
const DEFAULT_MAX_ANSWER_BYTES = 16_777_216;

/** Name of the encoding that changes nothing. */
const IDENTITY = "identity";

/** One HTTP request. */
export interface HttpRequest {
  readonly method: string;
  readonly url: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string | Buffer;
  /** Timeout in milliseconds, see `exchange` and `open`; none if omitted. */
  readonly timeoutMs?: number;
  readonly signal?: AbortSignal;
  /** Whether to open a new connection, because a pooled one may be broken undetected. */
  readonly isNewConnection?: boolean;
}

/** A complete HTTP answer. */
export interface HttpAnswer {
  readonly statusCode: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: Buffer;
}

/** The peer of a connector, and the code of its failures. */
export interface HttpConnectorOptions {
  readonly peer: string;
  readonly failureCode: stepError.ErrorCode;
  readonly connectTimeoutMs?: number;
}

interface Pool {
  readonly keepAliveAgent: http.Agent;
  readonly singleUseAgent: http.Agent;
}

const POOL_FACTORIES: Readonly<Record<string, () => Pool>> = {
  "http:": () => ({
    keepAliveAgent: new http.Agent({ keepAlive: true }),
    singleUseAgent: new http.Agent(),
  }),
  "https:": () => ({
    keepAliveAgent: new https.Agent({ keepAlive: true }),
    singleUseAgent: new https.Agent(),
  }),
};

/** Sends HTTP requests to one peer over its own connection pool. */
export class HttpConnector implements Disposable {
  private readonly pools = new Map<string, Pool>();

  constructor(private readonly options: HttpConnectorOptions) {}

  /**
   * Sends a request and reads the complete answer, whatever its status. The timeout covers the whole
   * exchange.
   *
   * @param step - the step that errors name
   * @returns the answer, or an error; its execution is `not-run` only if the request was assigned to
   * no open connection
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
      return neverthrow.err(this.createError(step, transmission, error));
    } finally {
      transmission[Symbol.dispose]();
    }
  }

  /**
   * Sends a request and returns when the headers of the answer have arrived. The signal also aborts
   * reading the body; the timeout covers the headers only.
   *
   * @param step - the step that errors name
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
      return neverthrow.err(this.createError(step, transmission, error));
    }
  }

  [Symbol.dispose](): void {
    for (const pool of this.pools.values()) {
      pool.keepAliveAgent.destroy();
      pool.singleUseAgent.destroy();
    }
    this.pools.clear();
  }

  /** Sends a request; rejects if it fails, or if what arrives cannot be an answer. */
  private async send(
    request: HttpRequest,
    transmission: transmissions.Transmission,
  ): Promise<http.IncomingMessage> {
    const pool = this.getPool(request.url);
    const sending = Wreck.request(request.method, request.url, {
      agent: request.isNewConnection === true ? pool.singleUseAgent : pool.keepAliveAgent,
      ...(request.headers === undefined ? {} : { headers: { ...request.headers } }),
      ...(request.body === undefined ? {} : { payload: request.body }),
    });
    const { connectTimeoutMs = DEFAULT_CONNECT_TIMEOUT_MS } = this.options;
    transmission.watch(sending.req, connectTimeoutMs);
    const response = await sending;
    const fault = findFault(response);
    if (fault === null) return response;
    response.destroy();
    throw new Error(`what arrived is no answer: ${fault}`);
  }

  private createError(
    step: string,
    transmission: transmissions.Transmission,
    error: unknown,
  ): stepError.StepError {
    if (transmission.isTimedOut) this.dropIdleConnections();
    const cause = transmission.abortReason ?? error;
    const execution = transmission.isSent
      ? stepError.ExecutionState.Unknown
      : stepError.ExecutionState.NotRun;
    const message = cause instanceof Error ? cause.message : String(cause);
    const { failureCode: code, peer } = this.options;
    return new stepError.StepError(message, { code, step, peer, execution, cause });
  }

  /** Closes idle connections after a timeout, because they may be broken as well. */
  private dropIdleConnections(): void {
    for (const pool of this.pools.values()) {
      const idle = Object.values(pool.keepAliveAgent.freeSockets).flatMap(
        (sockets) => sockets ?? [],
      );
      for (const socket of idle) socket.destroy();
    }
  }

  private getPool(url: string): Pool {
    const { protocol } = new URL(url);
    const known = this.pools.get(protocol);
    if (known !== undefined) return known;
    const create = POOL_FACTORIES[protocol];
    if (create === undefined) throw new Error(`unsupported protocol in URL ${url}`);
    const pool = create();
    this.pools.set(protocol, pool);
    return pool;
  }
}

/** Returns why a head cannot be that of an answer; bodies are requested without an encoding. */
function findFault(response: http.IncomingMessage): string | null {
  const isEncoded = (response.headers["content-encoding"] ?? IDENTITY) !== IDENTITY;
  return answerFaults.findMessageFault(response) ?? (isEncoded ? "content encoding" : null);
}

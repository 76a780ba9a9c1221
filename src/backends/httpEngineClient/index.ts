import type * as http from "node:http";

import * as neverthrow from "neverthrow";
import * as zod from "zod";

import type * as clocks from "../../_lib/clock/index.js";
import * as answerErrors from "../../_lib/httpConnector/createAnswerError.js";
import * as decodeAnswers from "../../_lib/httpConnector/decodeAnswer.js";
import * as httpConnector from "../../_lib/httpConnector/index.js";
import * as stepError from "../../_lib/stepError/index.js";
import * as engineStreams from "../_lib/engineStream.js";
import * as engineWire from "../_lib/engineWire.js";
import * as constants from "../constants.js";
import type * as types from "../types.js";

const OK_STATUS = 200;

const JSON_HEADERS = { "content-type": "application/json" };

const ERROR_CODES: Readonly<Record<number, stepError.ErrorCode>> = {
  404: stepError.ErrorCode.NotFound,
  409: stepError.ErrorCode.Conflict,
  429: stepError.ErrorCode.Overloaded,
  503: stepError.ErrorCode.NoBackend,
};

/** Client of an engine with an OpenAI-compatible HTTP interface and server-sent events. */
export class HttpEngineClient implements types.EngineClient, Disposable {
  private readonly connector: httpConnector.HttpConnector;

  /**
   * @param name - name of the engine, used as the peer in errors
   * @param url - base address of the engine
   * @param clock - converts the age of a load report to a local time
   */
  constructor(
    readonly name: string,
    private readonly url: string,
    private readonly clock: clocks.Clock,
  ) {
    const failureCode = stepError.ErrorCode.BackendFailed;
    this.connector = new httpConnector.HttpConnector({ peer: name, failureCode });
  }

  /** Starts a generation and yields its frames; throws a StepError if it is refused or fails. */
  async *start(
    request: types.EngineRequest,
    signal: AbortSignal,
  ): AsyncGenerator<types.EngineFrame> {
    const step = "engine.start";
    const response = await this.openStream(step, {
      method: "POST",
      url: `${this.url}/v1/completions`,
      headers: JSON_HEADERS,
      body: JSON.stringify(engineWire.encodeCompletion(request)),
      signal,
    });
    const fromOffset = request.prefixTokens.length;
    yield* engineStreams.readFrames(response, { step, peer: this.name, fromOffset, signal });
  }

  /** Resumes a run's stream from an offset on a new connection; throws a StepError on failure. */
  async *resume(
    requestId: string,
    attempt: number,
    fromOffset: number,
    signal: AbortSignal,
  ): AsyncGenerator<types.EngineFrame> {
    const step = "engine.resume";
    const response = await this.openStream(step, {
      method: "GET",
      url: `${this.streamUrl(requestId, attempt)}&from=${fromOffset}`,
      isNewConnection: true,
      signal,
    });
    yield* engineStreams.readFrames(response, { step, peer: this.name, fromOffset, signal });
  }

  /** Stops a run and frees its memory on the engine. */
  async cancel(
    requestId: string,
    attempt: number,
  ): Promise<neverthrow.Result<void, stepError.StepError>> {
    const answer = await this.exchange("engine.cancel", zod.unknown(), {
      method: "DELETE",
      url: this.streamUrl(requestId, attempt),
      timeoutMs: constants.CANCEL_TIMEOUT_MS,
    });
    return answer.map(() => undefined);
  }

  /** Fetches the engine's latest load report. */
  async loadReport(): Promise<neverthrow.Result<types.EngineLoadReport, stepError.StepError>> {
    const answer = await this.exchange("engine.load", engineWire.loadReport, {
      method: "GET",
      url: `${this.url}/v1/load`,
      timeoutMs: constants.LOAD_REPORT_TIMEOUT_MS,
    });
    return answer.map(({ ageMs, ...report }) => ({
      ...report,
      takenAtMs: this.clock.nowMs() - ageMs,
    }));
  }

  /** Fetches the cache events after a sequence number. */
  async cacheEvents(
    afterSequence: number,
  ): Promise<neverthrow.Result<readonly types.CacheEvent[], stepError.StepError>> {
    const answer = await this.exchange("engine.cache-events", engineWire.cacheEvents, {
      method: "GET",
      url: `${this.url}/v1/cache/events?after=${afterSequence}`,
      timeoutMs: constants.CACHE_EVENTS_TIMEOUT_MS,
    });
    return answer.map((body) => body.events);
  }

  /** Sends an order to the engine. */
  async order(order: types.EngineOrder): Promise<neverthrow.Result<void, stepError.StepError>> {
    const answer = await this.exchange("engine.order", zod.unknown(), {
      method: "POST",
      url: `${this.url}/v1/orders`,
      headers: JSON_HEADERS,
      body: JSON.stringify(order),
      timeoutMs: constants.ORDER_TIMEOUT_MS,
    });
    return answer.map(() => undefined);
  }

  [Symbol.dispose](): void {
    this.connector[Symbol.dispose]();
  }

  private streamUrl(requestId: string, attempt: number): string {
    return `${this.url}/v1/streams/${encodeURIComponent(requestId)}?attempt=${attempt}`;
  }

  private async exchange<T>(
    step: string,
    schema: zod.ZodType<T>,
    request: httpConnector.HttpRequest,
  ): Promise<neverthrow.Result<T, stepError.StepError>> {
    const result = await this.connector.exchange(step, request);
    return result.andThen((answer) =>
      decodeAnswers.decodeAnswer(answer, schema, this.createErrorOrigin(step, answer.statusCode)),
    );
  }

  /** Opens an event stream; throws a StepError if the engine refuses or is unreachable. */
  private async openStream(
    step: string,
    request: httpConnector.HttpRequest,
  ): Promise<http.IncomingMessage> {
    const opened = await this.connector.open(step, request);
    if (opened.isErr()) throw opened.error;
    const response = opened.value;
    const { statusCode = 0, headers } = response;
    if (statusCode === OK_STATUS) return response;
    const body = await engineStreams.readRefusalBody(response);
    throw answerErrors.createAnswerError(
      { statusCode, headers, body },
      this.createErrorOrigin(step, statusCode),
    );
  }

  private createErrorOrigin(step: string, statusCode: number): answerErrors.AnswerErrorOrigin {
    const code = ERROR_CODES[statusCode] ?? stepError.ErrorCode.BackendFailed;
    return { step, peer: this.name, code };
  }
}

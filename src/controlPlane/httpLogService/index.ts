import "reflect-metadata";

import * as neverthrow from "neverthrow";
import * as tsyringe from "tsyringe";
import * as zod from "zod";

import * as decodeAnswers from "../../_lib/httpConnector/decodeAnswer.js";
import * as httpConnector from "../../_lib/httpConnector/index.js";
import * as stepError from "../../_lib/stepError/index.js";
import * as tokens from "../../_lib/tokens/index.js";
import type * as settings from "../../settings/index.js";
import * as constants from "../constants.js";
import type * as types from "../types.js";

const PEER = "log";

const appendAnswer = zod.object({ offset: zod.int().min(0) });

const readAnswer = zod.object({
  records: zod.array(
    zod.object({
      offset: zod.int().min(0),
      appendedAtWallMs: zod.number(),
      payload: zod.unknown(),
    }),
  ),
  firstOffset: zod.int().min(0),
  endOffset: zod.int().min(0),
});

type Attempt<T> = (url: string) => Promise<neverthrow.Result<T, stepError.StepError>>;

/** Client of the platform's log over HTTP; tries its addresses in turn, the last reachable first. */
@tsyringe.injectable()
export class HttpLogService implements types.LogService, Disposable {
  private readonly connector = new httpConnector.HttpConnector({
    peer: PEER,
    failureCode: stepError.ErrorCode.PlatformUnavailable,
  });
  private readonly urls: readonly string[];
  private readonly timeoutMs: number;
  private lastReachableIndex = 0;

  constructor(
    @tsyringe.inject(tokens.TOKENS.settings)
    options: Pick<settings.Settings, "platform">,
  ) {
    this.urls = options.platform.logUrls;
    this.timeoutMs = options.platform.requestTimeoutMs;
  }

  append(
    stream: types.LogStream,
    payloads: readonly unknown[],
  ): Promise<neverthrow.Result<number, stepError.StepError>> {
    return this.tryAddresses(async (url) => {
      const step = "log.append";
      const answer = await this.connector.exchange(step, {
        method: "POST",
        url: `${url}/streams/${stream}/records`,
        headers: { "content-type": "application/json" },
        body: JSON.stringify({ payloads }),
        timeoutMs: this.timeoutMs,
      });
      return answer
        .andThen((whole) => decodeAnswers.decodeAnswer(whole, appendAnswer, createOrigin(step)))
        .map((body) => body.offset);
    });
  }

  read(
    stream: types.LogStream,
    fromOffset: number,
    options: types.LogReadOptions = {},
  ): Promise<neverthrow.Result<types.LogBatch, stepError.StepError>> {
    const query = new URLSearchParams({ from: String(fromOffset) });
    if (options.maxRecords !== undefined) query.set("max", String(options.maxRecords));
    if (options.waitMs !== undefined) query.set("waitMs", String(options.waitMs));
    const waitMs =
      options.waitMs === undefined ? 0 : options.waitMs + constants.LONG_POLL_MARGIN_MS;
    return this.tryAddresses(async (url) => {
      const step = "log.read";
      const answer = await this.connector.exchange(step, {
        method: "GET",
        url: `${url}/streams/${stream}/records?${query.toString()}`,
        timeoutMs: waitMs + this.timeoutMs,
        ...(options.signal === undefined ? {} : { signal: options.signal }),
      });
      return answer.andThen((whole) =>
        decodeAnswers.decodeAnswer(whole, readAnswer, createOrigin(step)),
      );
    });
  }

  [Symbol.dispose](): void {
    this.connector[Symbol.dispose]();
  }

  /** Tries the next address only if the previous one cannot have received the request. */
  private async tryAddresses<T>(
    attempt: Attempt<T>,
  ): Promise<neverthrow.Result<T, stepError.StepError>> {
    let lastError: stepError.StepError | undefined;
    for (let triedCount = 0; triedCount < this.urls.length; triedCount += 1) {
      const index = (this.lastReachableIndex + triedCount) % this.urls.length;
      const result = await attempt(this.urls[index] ?? "");
      if (result.isOk() || !isUnreachable(result.error)) {
        this.lastReachableIndex = index;
        return result;
      }
      lastError = result.error;
    }
    return neverthrow.err(lastError ?? createNoAddressError());
  }
}

/** Whether the request was not sent. A refusal by the log is also not-run, but has no cause. */
function isUnreachable(error: stepError.StepError): boolean {
  return error.execution === stepError.ExecutionState.NotRun && error.cause !== undefined;
}

function createOrigin(step: string): {
  step: string;
  peer: string;
  code: stepError.ErrorCode;
} {
  return { step, peer: PEER, code: stepError.ErrorCode.PlatformUnavailable };
}

function createNoAddressError(): stepError.StepError {
  const execution = stepError.ExecutionState.NotRun;
  return new stepError.StepError("the log has no address: platform.logUrls is empty", {
    ...createOrigin("log.connect"),
    execution,
  });
}

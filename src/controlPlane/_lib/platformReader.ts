import type * as neverthrow from "neverthrow";
import type * as zod from "zod";

import * as decodeAnswers from "../../_lib/httpConnector/decodeAnswer.js";
import * as httpConnector from "../../_lib/httpConnector/index.js";
import * as stepError from "../../_lib/stepError/index.js";

/** Reads and validates JSON documents of one service of the platform. */
export class PlatformReader implements Disposable {
  private readonly code = stepError.ErrorCode.PlatformUnavailable;
  private readonly connector: httpConnector.HttpConnector;

  constructor(private readonly peer: string) {
    this.connector = new httpConnector.HttpConnector({ peer, failureCode: this.code });
  }

  /**
   * Reads one document.
   *
   * @param step - step that errors name
   * @returns the validated document, or an error if the request fails or the format is unexpected
   */
  async get<T>(
    step: string,
    url: string,
    schema: zod.ZodType<T>,
    timeoutMs: number,
  ): Promise<neverthrow.Result<T, stepError.StepError>> {
    const answer = await this.connector.exchange(step, { method: "GET", url, timeoutMs });
    const origin = { step, peer: this.peer, code: this.code };
    return answer.andThen((whole) => decodeAnswers.decodeAnswer(whole, schema, origin));
  }

  [Symbol.dispose](): void {
    this.connector[Symbol.dispose]();
  }
}

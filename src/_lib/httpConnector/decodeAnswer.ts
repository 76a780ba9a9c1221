import * as neverthrow from "neverthrow";
import type * as zod from "zod";

import * as stepError from "../stepError/index.js";
import * as answerErrors from "./createAnswerError.js";
import type * as httpConnector from "./index.js";

const FIRST_NON_SUCCESS_STATUS = 300;

/**
 * Decodes a JSON answer and validates it against a schema.
 *
 * @returns the value, or an error if the status is not a success or the body does not match; in the
 * latter case the execution is `unknown`, because the peer did process the request
 */
export function decodeAnswer<T>(
  answer: httpConnector.HttpAnswer,
  schema: zod.ZodType<T>,
  origin: answerErrors.AnswerErrorOrigin,
): neverthrow.Result<T, stepError.StepError> {
  if (answer.statusCode >= FIRST_NON_SUCCESS_STATUS) {
    return neverthrow.err(answerErrors.createAnswerError(answer, origin));
  }
  try {
    return neverthrow.ok(schema.parse(JSON.parse(answer.body.toString("utf8"))));
  } catch (cause) {
    const execution = stepError.ExecutionState.Unknown;
    const details = { ...origin, execution, cause };
    return neverthrow.err(
      new stepError.StepError(`the answer of ${origin.peer} is malformed`, details),
    );
  }
}

import * as neverthrow from "neverthrow";
import type * as zod from "zod";

import * as stepError from "../stepError/index.js";
import * as answerErrors from "./answerError.js";
import type * as httpConnector from "./index.js";

const FIRST_ERROR_STATUS = 300;

/**
 * Checks a JSON answer against a schema.
 *
 * @returns the value; an error for an error status, or for a body of another shape, which says
 * `unknown` because the other party did answer
 */
export function decodeAnswer<T>(
  answer: httpConnector.HttpAnswer,
  schema: zod.ZodType<T>,
  origin: answerErrors.AnswerErrorOrigin,
): neverthrow.Result<T, stepError.StepError> {
  if (answer.statusCode >= FIRST_ERROR_STATUS) {
    return neverthrow.err(answerErrors.answerError(answer, origin));
  }
  try {
    return neverthrow.ok(schema.parse(JSON.parse(answer.body.toString("utf8"))));
  } catch (cause) {
    const execution = stepError.ExecutionState.Unknown;
    const details = { ...origin, execution, cause };
    return neverthrow.err(new stepError.StepError("the answer is malformed", details));
  }
}

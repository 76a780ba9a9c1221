import * as zod from "zod";

import * as stepError from "../stepError/index.js";
import type * as httpConnector from "./index.js";

const MS_PER_SECOND = 1_000;
const FIRST_SERVER_ERROR_STATUS = 500;

const errorBody = zod.object({
  error: zod.string().optional(),
  execution: zod.enum(stepError.ExecutionState).optional(),
});

type ErrorBody = zod.infer<typeof errorBody>;

/** The step and peer of an answer, and the code of the error that is created if it failed. */
export interface AnswerErrorOrigin {
  readonly step: string;
  readonly peer: string;
  readonly code: stepError.ErrorCode;
}

/**
 * Converts an answer with an error status to a StepError. If the answer does not state the
 * execution, it is `not-run` for a status below 500 (refusal) and `unknown` otherwise (failure).
 */
export function createAnswerError(
  answer: httpConnector.HttpAnswer,
  origin: AnswerErrorOrigin,
): stepError.StepError {
  const body = parseBody(answer.body);
  const retryAfterS = Number(answer.headers["retry-after"] ?? Number.NaN);
  return new stepError.StepError(body.error ?? `answered with status ${answer.statusCode}`, {
    ...origin,
    execution: body.execution ?? inferExecution(answer.statusCode),
    ...(Number.isFinite(retryAfterS) ? { retryAfterMs: retryAfterS * MS_PER_SECOND } : {}),
  });
}

function inferExecution(statusCode: number): stepError.ExecutionState {
  return statusCode < FIRST_SERVER_ERROR_STATUS
    ? stepError.ExecutionState.NotRun
    : stepError.ExecutionState.Unknown;
}

function parseBody(body: Buffer): ErrorBody {
  try {
    const result = errorBody.safeParse(JSON.parse(body.toString("utf8")));
    return result.success ? result.data : {};
  } catch {
    return {};
  }
}

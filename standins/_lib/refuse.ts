import type * as hapi from "@hapi/hapi";

import * as stepError from "../../src/_lib/stepError/index.js";

const MS_PER_SECOND = 1_000;

const STATUS_CODES: Partial<Record<stepError.ErrorCode, number>> = {
  [stepError.ErrorCode.InvalidRequest]: 400,
  [stepError.ErrorCode.NotFound]: 404,
  [stepError.ErrorCode.Conflict]: 409,
  [stepError.ErrorCode.LimitExceeded]: 429,
};

const DEFAULT_STATUS_CODE = 503;

/** Creates the error response to a refused request; it states whether the work was executed. */
export function refuse(h: hapi.ResponseToolkit, error: stepError.StepError): hapi.ResponseObject {
  const response = h
    .response({ error: error.message, execution: error.execution })
    .code(STATUS_CODES[error.code] ?? DEFAULT_STATUS_CODE);
  if (error.retryAfterMs === undefined) return response;
  return response.header("retry-after", String(Math.ceil(error.retryAfterMs / MS_PER_SECOND)));
}

/** Creates the error for a request that a stand-in cannot decode. */
export function createInvalidRequestError(peer: string, message: string): stepError.StepError {
  return new stepError.StepError(message, {
    code: stepError.ErrorCode.InvalidRequest,
    step: "request.decode",
    peer,
    execution: stepError.ExecutionState.NotRun,
  });
}

import * as stepError from "../../../_lib/stepError/index.js";
import * as constants from "../../constants.js";

/** Details of a failure that the caller is told openly. */
export interface FailureDetails {
  readonly code: stepError.ErrorCode;
  readonly step: string;
  readonly peer?: string;
  readonly deliveredTokens: number;
  readonly retryAfterMs?: number;
}

/** The final answer to a request whose generation has been given up after it was accepted. */
export function createFailure(message: string, details: FailureDetails): stepError.StepError {
  const hasDelivered = details.deliveredTokens > 0;
  return new stepError.StepError(message, {
    retryAfterMs: constants.DEFAULT_RETRY_AFTER_MS,
    ...details,
    execution: hasDelivered ? stepError.ExecutionState.Ran : stepError.ExecutionState.Unknown,
  });
}

/** The answer to a request that was not accepted, and of which nothing was run. */
export function createRefusal(
  message: string,
  code: stepError.ErrorCode,
  step: string,
  retryAfterMs = constants.DEFAULT_RETRY_AFTER_MS,
): stepError.StepError {
  return new stepError.StepError(message, {
    code,
    step,
    execution: stepError.ExecutionState.NotRun,
    retryAfterMs,
  });
}

/** The answer to a caller whose generation nobody holds. */
export function createNotFound(requestId: string): stepError.StepError {
  return new stepError.StepError(`no generation ${requestId} is held`, {
    code: stepError.ErrorCode.NotFound,
    step: "generation.attach",
    execution: stepError.ExecutionState.Unknown,
  });
}

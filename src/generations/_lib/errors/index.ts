import * as stepError from "../../../_lib/stepError/index.js";
import * as constants from "../../constants.js";

/** Details of a failure that are reported to the caller. */
export interface FailureDetails {
  readonly code: stepError.ErrorCode;
  readonly step: string;
  readonly peer?: string;
  readonly deliveredTokens: number;
  readonly retryAfterMs?: number;
}

/** Creates the final error of a request whose generation failed after it was accepted. */
export function createFailure(message: string, details: FailureDetails): stepError.StepError {
  const hasDelivered = details.deliveredTokens > 0;
  return new stepError.StepError(message, {
    retryAfterMs: constants.DEFAULT_RETRY_AFTER_MS,
    ...details,
    execution: hasDelivered ? stepError.ExecutionState.Ran : stepError.ExecutionState.Unknown,
  });
}

/** Creates the error of a request that was refused and not run. */
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

/** Creates the error for a caller whose generation no VM holds. */
export function createNotFound(requestId: string): stepError.StepError {
  return new stepError.StepError(`no generation ${requestId} is held`, {
    code: stepError.ErrorCode.NotFound,
    step: "generation.attach",
    execution: stepError.ExecutionState.Unknown,
  });
}

import * as stepError from "../../_lib/stepError/index.js";

/** An error in what the caller sent; nothing was run. */
export function refuse(
  code: stepError.ErrorCode,
  step: string,
  message: string,
): stepError.StepError {
  return new stepError.StepError(message, {
    code,
    step,
    execution: stepError.ExecutionState.NotRun,
  });
}

/** Any failure as a StepError; one that was not foreseen leaves the outcome unknown. */
export function toStepError(error: unknown, step: string): stepError.StepError {
  if (error instanceof stepError.StepError) return error;
  return new stepError.StepError("an internal error occurred", {
    code: stepError.ErrorCode.Internal,
    step,
    execution: stepError.ExecutionState.Unknown,
    cause: error,
  });
}

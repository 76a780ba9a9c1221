import * as stepError from "../../_lib/stepError/index.js";

/** Creates the error of a refused request, which was not executed. */
export function createRefusal(
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

/** Returns a StepError as it is; wraps another error as internal, with execution `unknown`. */
export function toStepError(error: unknown, step: string): stepError.StepError {
  if (error instanceof stepError.StepError) return error;
  return new stepError.StepError("an internal error occurred", {
    code: stepError.ErrorCode.Internal,
    step,
    execution: stepError.ExecutionState.Unknown,
    cause: error,
  });
}

import * as stepError from "../../_lib/stepError/index.js";
import type * as types from "../types.js";

/** Creates the error of a read that returned none of the records that the log states to have. */
export function createPartialReadError(
  fromOffset: number,
  { endOffset }: Pick<types.LogBatch, "endOffset">,
): stepError.StepError {
  const missing = `records from offset ${fromOffset} on, but the log ends at ${endOffset}`;
  return new stepError.StepError(`the log returned no ${missing}`, {
    code: stepError.ErrorCode.PlatformUnavailable,
    step: "log.read",
    peer: "log",
    execution: stepError.ExecutionState.NotRun,
  });
}

import * as neverthrow from "neverthrow";

import * as notRunPromises from "../../../_lib/promisesNotRun/index.js";
import * as stepError from "../../../_lib/stepError/index.js";
import type * as backends from "../../../backends/types.js";
import type * as callErrors from "../callErrors/index.js";

/**
 * Returns a service's answer to a once-only call; an error if its status promises that the call has not run, as
 * services do not state that, and the caller would send the call again.
 */
export function withholdPromise(answer: backends.ServiceAnswer): callErrors.CallResult {
  const { statusCode } = answer;
  if (!notRunPromises.promisesNotRun(statusCode)) return neverthrow.ok(answer);
  const message = `the service answered ${statusCode}, which does not state whether the call has run`;
  return neverthrow.err(
    new stepError.StepError(message, {
      code: stepError.ErrorCode.BackendFailed,
      step: "call.answer",
      execution: stepError.ExecutionState.Unknown,
    }),
  );
}

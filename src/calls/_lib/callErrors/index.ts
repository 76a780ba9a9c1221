import * as neverthrow from "neverthrow";

import * as stepError from "../../../_lib/stepError/index.js";
import type * as backends from "../../../backends/types.js";
import * as constants from "../../constants.js";

/** Result of a call: the service's answer or an error. */
export type CallResult = neverthrow.Result<backends.ServiceAnswer, stepError.StepError>;

/** Returns the service's answer as the result of the call. */
export function succeed(answer: backends.ServiceAnswer): CallResult {
  return neverthrow.ok(answer);
}

/** Fails a call with an error built from its details and message. */
export function fail(
  details: stepError.StepErrorDetails & { readonly message: string },
): CallResult {
  return neverthrow.err(new stepError.StepError(details.message, details));
}

/** Refuses a call because no server of the service can accept it. */
export function refuseWithoutServer(service: string): CallResult {
  const message = `no server of service ${service} accepts calls`;
  const retryAfterMs = constants.BACKEND_RETRY_AFTER_MS;
  return refuse(stepError.ErrorCode.NoBackend, "call.choose", message, { retryAfterMs });
}

/** Refuses a call whose deadline passed before it was sent. */
export function refuseAfterDeadline(): CallResult {
  const message = "the deadline passed before the call could be dispatched";
  return refuse(stepError.ErrorCode.DeadlineExceeded, "call.dispatch", message);
}

/** Refuses a call that has not been run and will not be. */
export function refuse(
  code: stepError.ErrorCode,
  step: string,
  message: string,
  details: Partial<stepError.StepErrorDetails> = {},
): CallResult {
  const execution = stepError.ExecutionState.NotRun;
  return neverthrow.err(new stepError.StepError(message, { ...details, code, step, execution }));
}

/** Fails a call that may have run and whose outcome is not known yet. */
export function failWithUnknownOutcome(step: string, message: string, cause?: unknown): CallResult {
  return neverthrow.err(
    new stepError.StepError(message, {
      code: stepError.ErrorCode.OutcomeUnknown,
      step,
      execution: stepError.ExecutionState.Unknown,
      retryAfterMs: constants.OUTCOME_RETRY_AFTER_MS,
      cause,
    }),
  );
}

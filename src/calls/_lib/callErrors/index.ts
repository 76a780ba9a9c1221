import * as neverthrow from "neverthrow";

import * as stepError from "../../../_lib/stepError/index.js";
import type * as backends from "../../../backends/types.js";
import * as constants from "../../constants.js";

/** What a call ends with. */
export type CallResult = neverthrow.Result<backends.ServiceAnswer, stepError.StepError>;

/** The service's answer, handed on. */
export function succeed(answer: backends.ServiceAnswer): CallResult {
  return neverthrow.ok(answer);
}

/** An error with its message among its details. */
export function fail(
  details: stepError.StepErrorDetails & { readonly message: string },
): CallResult {
  return neverthrow.err(new stepError.StepError(details.message, details));
}

/** Refuses a call because no server takes it. */
export function refuseWithoutBackend(service: string): CallResult {
  const message = `no server of ${service} takes calls`;
  const retryAfterMs = constants.BACKEND_RETRY_AFTER_MS;
  return refuse(stepError.ErrorCode.NoBackend, "call.choose", message, { retryAfterMs });
}

/** Refuses a call whose deadline passed before anything was sent. */
export function refuseLate(): CallResult {
  const message = "the deadline passed before the call could be dispatched";
  return refuse(stepError.ErrorCode.DeadlineExceeded, "call.dispatch", message);
}

/** Refuses a call of which nothing was or will be run. */
export function refuse(
  code: stepError.ErrorCode,
  step: string,
  message: string,
  details: Partial<stepError.StepErrorDetails> = {},
): CallResult {
  const execution = stepError.ExecutionState.NotRun;
  return neverthrow.err(new stepError.StepError(message, { ...details, code, step, execution }));
}

/** Says that a call may have run, and that its outcome is not known yet. */
export function leaveOpen(step: string, message: string, cause?: unknown): CallResult {
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

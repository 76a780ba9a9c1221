import * as stepError from "../../../_lib/stepError/index.js";
import * as constants from "../../constants.js";
import type * as types from "../../types.js";
import * as callErrors from "../callErrors/index.js";

/** Refuses a call whose key was used with another body. */
export function refuseOtherBody(): callErrors.CallResult {
  const message = "the idempotency key was used with another body";
  return callErrors.refuse(stepError.ErrorCode.Conflict, "call.key", message);
}

/** Refuses a call whose key is older than the keys that are remembered. */
export function refuseTooOld(): callErrors.CallResult {
  const message = `the idempotency key is older than ${constants.MAX_TIMED_KEY_AGE_MS} ms`;
  return callErrors.refuse(stepError.ErrorCode.Conflict, "call.key", message);
}

/** Fails a call whose idempotency key was used by a call that ran, but whose answer is not stored. */
export function refuseSpent(): callErrors.CallResult {
  return callErrors.fail({
    code: stepError.ErrorCode.Conflict,
    step: "call.key",
    message: "the call with this key was run, and its answer is not stored",
    execution: stepError.ExecutionState.Ran,
  });
}

/** Fails a call whose key an earlier call holds, the outcome of which is not known. */
export function failWithUnresolvedKey(key: types.KeyState): callErrors.CallResult {
  const message = `an earlier call with this key at ${key.vm} is ${key.phase}`;
  return callErrors.failWithUnknownOutcome("call.key", message);
}

/** Refuses a call that cannot be recorded, as the log cannot be reached. */
export function refuseLogDown(): callErrors.CallResult {
  const message = "the log that keeps once-only calls cannot be reached";
  const retryAfterMs = constants.LOG_OUTAGE_RETRY_AFTER_MS;
  const code = stepError.ErrorCode.PlatformUnavailable;
  return callErrors.refuse(code, "call.claim", message, { peer: "log", retryAfterMs });
}

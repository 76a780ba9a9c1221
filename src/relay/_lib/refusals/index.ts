import * as types from "../../types.js";

/** Status of each answer of the relay's own. 503 promises that the call has not run and never will. */
const STATUS: Readonly<Record<types.RefusalReason, number>> = {
  [types.RefusalReason.NoConfiguration]: 503,
  [types.RefusalReason.StaleConfiguration]: 503,
  [types.RefusalReason.NoRoute]: 404,
  [types.RefusalReason.UnknownKey]: 401,
  [types.RefusalReason.Malformed]: 400,
  [types.RefusalReason.BodyTooLarge]: 413,
  [types.RefusalReason.HeadersTooLarge]: 431,
  [types.RefusalReason.NoServer]: 503,
  [types.RefusalReason.NoRoom]: 503,
  [types.RefusalReason.ServersRefused]: 503,
  [types.RefusalReason.Stopping]: 503,
  [types.RefusalReason.TimedOutNotRun]: 503,
  [types.RefusalReason.TimedOut]: 504,
  [types.RefusalReason.OutcomeUnknown]: 502,
};

/** An answer of the relay's own for a reason. */
export function refusalFor(
  reason: types.RefusalReason,
  retryAfterMs: number | null = null,
): types.Refusal {
  return { reason, status: STATUS[reason], retryAfterMs };
}

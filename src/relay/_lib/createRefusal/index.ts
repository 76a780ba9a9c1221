import * as notRunPromises from "../../../_lib/promisesNotRun/index.js";
import type * as crashes from "../../../crashes/index.js";
import type * as diagnostics from "../../../diagnostics/index.js";
import * as types from "../../types.js";

/** HTTP status of each refusal. 503 guarantees that the call was not and will not be executed. */
const STATUS_BY_REASON: Readonly<Record<types.RefusalReason, number>> = {
  [types.RefusalReason.NoConfiguration]: 503,
  [types.RefusalReason.StaleConfiguration]: 503,
  [types.RefusalReason.NoRoute]: 404,
  [types.RefusalReason.UnknownKey]: 401,
  [types.RefusalReason.Malformed]: 400,
  [types.RefusalReason.NotResumable]: 400,
  [types.RefusalReason.BodyTooLarge]: 413,
  [types.RefusalReason.HeadersTooLarge]: 431,
  [types.RefusalReason.NoMemory]: 503,
  [types.RefusalReason.NoServer]: 503,
  [types.RefusalReason.Evacuated]: 503,
  [types.RefusalReason.NoCapacity]: 503,
  [types.RefusalReason.ServersRefused]: 503,
  [types.RefusalReason.RateLimited]: 503,
  [types.RefusalReason.BeyondShare]: 503,
  [types.RefusalReason.EndsServers]: 503,
  [types.RefusalReason.Stopping]: 503,
  [types.RefusalReason.TimedOutNotRun]: 503,
  [types.RefusalReason.TimedOut]: 504,
  [types.RefusalReason.OutcomeUnknown]: 502,
  [types.RefusalReason.InternalError]: 502,
};

/** Replaces reasons that promise "not run" if the call may have run; all others become `OutcomeUnknown`. */
const REASON_AFTER_RUN: Readonly<Partial<Record<types.RefusalReason, types.RefusalReason>>> = {
  [types.RefusalReason.TimedOutNotRun]: types.RefusalReason.TimedOut,
};

/**
 * Creates the refusal for a reason, with the status that belongs to it. A reason whose status promises that the call
 * has not run is replaced if it may have run.
 *
 * @param execution - what is known of the call, from where its sends are recorded
 */
export function createRefusal(
  reason: types.RefusalReason,
  execution: types.Execution,
  retryAfterMs: number | null = null,
): types.Refusal {
  const status = STATUS_BY_REASON[reason];
  if (!notRunPromises.promisesNotRun(status)) return { reason, status, retryAfterMs: null };
  if (execution === types.Execution.NotRun) return { reason, status, retryAfterMs };
  const reasonAfterRun = REASON_AFTER_RUN[reason] ?? types.RefusalReason.OutcomeUnknown;
  return { reason: reasonAfterRun, status: STATUS_BY_REASON[reasonAfterRun], retryAfterMs: null };
}

/** Describes in log fields what the work has in common with others under which servers ended. */
export function describeBlame({ suspect, endsCount }: crashes.Blame): diagnostics.LogFields {
  return { suspectKind: suspect.kind, suspect: suspect.key, endsCount };
}

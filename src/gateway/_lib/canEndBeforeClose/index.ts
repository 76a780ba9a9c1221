import * as constants from "../../constants.js";
import type * as callTimes from "../callTimes/index.js";

/** What decides whether a stopping VM still accepts a call. */
export interface StoppingCall {
  readonly isGeneration: boolean;
  /** Timeout of the route, after which the call ends in any case. */
  readonly timeoutMs: number;
  /** Target time of its route to the answer. */
  readonly objectiveMs: number;
  /** Times of the route's recent calls. */
  readonly recent: callTimes.RecentTimes;
  /** Time until this VM closes its callers' connections. */
  readonly timeToCloseMs: number;
}

/**
 * Whether a call that is not sent yet is sure enough to end before a stopping VM closes its callers'
 * connections. The slowest recent call counts, not the mean, as a refused caller loses only its way to another VM.
 */
export function canEndBeforeClose(call: StoppingCall): boolean {
  const usableMs =
    call.timeToCloseMs - constants.FINAL_ANSWERS_MS - constants.DRAIN_CHECK_INTERVAL_MS;
  return Math.min(call.timeoutMs, computeNeededMs(call)) <= usableMs;
}

function computeNeededMs({ isGeneration, objectiveMs, recent }: StoppingCall): number {
  if (isGeneration) return Infinity;
  const { isEnough, slowestMs } = recent;
  if (isEnough) {
    return Math.max(constants.MIN_TIME_FOR_CALL_MS, constants.SLOWEST_CALL_RATIO * slowestMs);
  }
  const expectedMs = Math.max(objectiveMs, slowestMs);
  return Math.max(
    constants.MIN_TIME_FOR_UNKNOWN_CALL_MS,
    constants.UNKNOWN_CALL_RATIO * expectedMs,
  );
}

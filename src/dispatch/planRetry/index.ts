import * as constants from "../constants.js";

/** How an attempt of a plain call ended without an answer for its caller. */
export enum AttemptFailure {
  /** The server could not be reached, and nothing was sent. */
  NotSent = "not-sent",
  /** The server states that it did not run the call, as it is full. */
  Rejected = "rejected",
  /** The call ran or may have run, and failed. Only idempotent calls are repeated then. */
  Failed = "failed",
}

/** What is known of a plain call after an attempt that failed. */
export interface RetryState {
  readonly failure: AttemptFailure;
  /** Attempts so far, including those that could not connect. */
  readonly sendsCount: number;
  /** Pauses that the call has made already. */
  readonly pausesCount: number;
  /** Whether a server that has not run the call may still run it. */
  readonly canUseNewServer: boolean;
  /** Whether a server that may run the call is available and does not fail most of its calls. */
  readonly hasSoundServer: boolean;
  /** Time for which the caller waits in all, and the rest of it. */
  readonly timeGivenMs: number;
  readonly timeLeftMs: number;
  /** Time left until the objective; negative after it. */
  readonly objectiveLeftMs: number;
  /** Expected time of one more attempt. */
  readonly callMs: number;
}

/** When and how a plain call is sent again. */
export interface RetryPlan {
  readonly delayMs: number;
  /** Whether the attempt is taken from the retry budget. */
  readonly usesBudget: boolean;
  /** Whether it has to leave the part of the budget that is reserved for prompt retries. */
  readonly isSpare: boolean;
}

/**
 * Decides whether a plain call is sent again after a failed attempt. The loads that it answers: servers
 * that fail a part of their calls at random, so that some calls fail at every server that they may use
 * while nearly all of their time is left; and servers that are full for a moment while others have places.
 *
 * A call that was not sent, or rejected, is sent again at once while it can meet its objective. One that
 * failed is repeated at once where another server may run it, and else after pauses that double, while a
 * server that may run it is sound and half of its time is left. The other half is left to the caller, whose own retry may use other servers.
 *
 * @returns null if the call is not sent again
 */
export function planRetry(state: RetryState): RetryPlan | null {
  return PLANNERS[state.failure](state);
}

const PLANNERS: Readonly<Record<AttemptFailure, (state: RetryState) => RetryPlan | null>> = {
  [AttemptFailure.NotSent]: ({ sendsCount }) =>
    sendsCount < constants.MAX_PROMPT_TRIES_COUNT
      ? { delayMs: 0, usesBudget: false, isSpare: false }
      : null,
  [AttemptFailure.Rejected]: ({ sendsCount, objectiveLeftMs, callMs }) => {
    const canMeetObjective =
      sendsCount < constants.MAX_PROMPT_TRIES_COUNT && objectiveLeftMs > callMs;
    return canMeetObjective || sendsCount < constants.MAX_PROMPT_REPEATS_COUNT
      ? { delayMs: 0, usesBudget: true, isSpare: false }
      : null;
  },
  [AttemptFailure.Failed]: (state) => {
    if (state.canUseNewServer && state.sendsCount < constants.MAX_PROMPT_REPEATS_COUNT)
      return { delayMs: 0, usesBudget: true, isSpare: false };
    if (!state.hasSoundServer || state.pausesCount >= constants.MAX_RETRY_PAUSES_COUNT) return null;
    const doubledMs = constants.MIN_RETRY_PAUSE_MS * 2 ** state.pausesCount;
    const delayMs = Math.min(constants.MAX_RETRY_PAUSE_MS, doubledMs);
    const neededMs = Math.max(state.callMs, constants.CALLER_TIME_RATIO * state.timeGivenMs);
    const isInTime = state.timeLeftMs - delayMs > neededMs;
    return isInTime ? { delayMs, usesBudget: true, isSpare: true } : null;
  },
};

import * as constants from "../constants.js";

/** A run that has to move off an engine, with its memory. */
export interface MovingRun {
  readonly requestId: string;
  /** Prompt and output so far. */
  readonly usedTokens: number;
}

/**
 * The runs of an engine that leaves which move before a given one. All VMs order them alike, by
 * their ids, so that no word is needed about whose turn it is.
 */
export function runsAhead(runs: readonly MovingRun[], requestId: string): readonly MovingRun[] {
  return runs.filter((run) => run.requestId < requestId);
}

/**
 * Longest time from the notice of an engine's leaving for which a run waits for its turn to move:
 * until the runs ahead are through with room to spare, but in time for its own copies.
 *
 * Answers a reclaimed engine whose runs all move at once: they share its link, and a run that was
 * stopped for its last copy waits behind the first copies of all others while its caller sees
 * nothing.
 */
export function longestTurnWaitMs(ahead: readonly MovingRun[], usedTokens: number): number {
  const aheadTokens = ahead.reduce((sum, run) => sum + run.usedTokens, 0);
  const aheadMs = constants.TURN_MARGIN_RATIO * copyMs(aheadTokens);
  const latestMs = constants.LAST_COPY_LIMIT_MS - copyMs(usedTokens);
  return Math.max(0, Math.min(aheadMs, latestMs));
}

function copyMs(tokens: number): number {
  return tokens / constants.MOVE_TOKENS_PER_MS;
}

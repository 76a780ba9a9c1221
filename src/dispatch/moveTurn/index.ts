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
 * until the runs ahead are through, even where each moves between data centres.
 *
 * Answers a reclaimed engine whose runs all move at once: they share its link, and a run that was
 * stopped for its last copy waits behind the first copies of all others while its caller sees
 * nothing; when the engine is gone, none of them may be through.
 */
export function longestTurnWaitMs(ahead: readonly MovingRun[]): number {
  const aheadTokens = ahead.reduce((sum, run) => sum + run.usedTokens, 0);
  return aheadTokens / constants.SLOW_MOVE_TOKENS_PER_MS;
}

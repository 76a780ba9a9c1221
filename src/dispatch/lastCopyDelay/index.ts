import * as constants from "../constants.js";

/**
 * Time from the notice of an engine's leaving to the last copy of a run's memory: when the first
 * copies of all its runs are likely through, but in time before the engine may be gone.
 *
 * @param tokensToMove - memory of all runs that have to move off the engine
 */
export function lastCopyDelayMs(tokensToMove: number): number {
  const copyingMs = tokensToMove / constants.MOVE_TOKENS_PER_MS;
  return Math.min(constants.LAST_COPY_LIMIT_MS, copyingMs);
}

import * as constants from "../constants.js";

/**
 * Estimates the tokens that a run will still produce. A run that nears or exceeds its expected
 * length is expected to continue for a fixed share of its length.
 *
 * @param expectedTokens - expected length of the whole output
 * @param producedTokens - tokens produced so far
 */
export function estimateRemainingOutput(expectedTokens: number, producedTokens: number): number {
  const overrunTokens =
    constants.OVERRUN_REMAINING_RATIO * Math.max(expectedTokens, producedTokens);
  return Math.max(expectedTokens - producedTokens, overrunTokens);
}

import * as constants from "../constants.js";

/**
 * Tokens that a run is expected to produce from now on, never less than a share of its length.
 *
 * @param expectedTokens - expected length of the whole output
 * @param producedTokens - tokens produced so far
 */
export function estimateRest(expectedTokens: number, producedTokens: number): number {
  const overrunTokens =
    constants.OVERRUN_REMAINING_RATIO * Math.max(expectedTokens, producedTokens);
  return Math.max(expectedTokens - producedTokens, overrunTokens);
}

import * as constants from "../constants.js";

/**
 * Tokens that a run is expected to produce still.
 *
 * @param expectedTokens - what was expected of the whole output
 * @param producedTokens - what it has produced; past the expectation a share of that is expected on top
 */
export function estimateRest(expectedTokens: number, producedTokens: number): number {
  const overrunTokens = constants.OVERRUN_REST_RATIO * Math.max(expectedTokens, producedTokens);
  return Math.max(expectedTokens - producedTokens, overrunTokens);
}

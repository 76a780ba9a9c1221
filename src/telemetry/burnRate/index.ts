import type * as types from "../types.js";

/**
 * How fast a window spends its error budget.
 *
 * @param counts - good and bad events of the window
 * @param targetRatio - share of events that must be good
 * @returns 1 where the budget lasts exactly; 0 without events; Infinity where no event may be bad
 * @example burnRate({ windowMs: 300_000, goodCount: 90, badCount: 10 }, 0.95) // 2
 */
export function burnRate(counts: types.BurnCounts, targetRatio: number): number {
  const totalCount = counts.goodCount + counts.badCount;
  if (totalCount === 0 || counts.badCount === 0) return 0;
  const badRatio = counts.badCount / totalCount;
  return badRatio / (1 - targetRatio);
}

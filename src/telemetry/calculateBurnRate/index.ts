import type * as types from "../types.js";

/**
 * Calculates the rate at which a window consumes its error budget.
 *
 * @param counts - good and bad events of the window
 * @param targetRatio - fraction of events that must be good
 * @returns the fraction of bad events over the error budget: 1 if the window consumes exactly its
 * budget, 0 without bad events, Infinity if there are bad events and the budget is zero
 * @example burnRate({ windowMs: 300_000, goodCount: 90, badCount: 10 }, 0.95) // 2
 */
export function calculateBurnRate(counts: types.BurnCounts, targetRatio: number): number {
  const totalCount = counts.goodCount + counts.badCount;
  if (totalCount === 0 || counts.badCount === 0) return 0;
  const badRatio = counts.badCount / totalCount;
  return badRatio / (1 - targetRatio);
}

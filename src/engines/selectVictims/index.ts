import * as priorities from "../priorityOf/index.js";
import type * as types from "../types.js";

/**
 * Selects generations to suspend until enough memory is free: fewest previous suspensions first,
 * then the least urgent class, and among equals as few generations as possible, each no larger than
 * needed.
 *
 * @param running - generations that run on the engine
 * @param tokensToFree - memory needed, in tokens
 * @returns request ids in the order of suspension; at least one generation keeps running
 */
export function selectVictims(
  running: readonly types.RunningGeneration[],
  tokensToFree: number,
): readonly string[] {
  const candidates = [...running].sort(compareCost);
  const victims: string[] = [];
  let remainingTokens = tokensToFree;
  while (remainingTokens > 0 && candidates.length > 1) {
    const victim = candidates.splice(findBestFitIndex(candidates, remainingTokens), 1)[0];
    if (victim === undefined) break;
    victims.push(victim.need.requestId);
    remainingTokens -= victim.contextTokens;
  }
  return victims;
}

/** Index of the smallest candidate of the lowest rank that is large enough, or else the largest. */
function findBestFitIndex(candidates: readonly types.RunningGeneration[], tokens: number): number {
  const [first] = candidates;
  let index = 0;
  for (; index + 1 < candidates.length; index += 1) {
    const candidate = candidates[index];
    const next = candidates[index + 1];
    if (candidate === undefined || next === undefined || first === undefined) break;
    if (candidate.contextTokens >= tokens || compareRank(first, next) !== 0) break;
  }
  return index;
}

function compareCost(left: types.RunningGeneration, right: types.RunningGeneration): number {
  return compareRank(left, right) || left.contextTokens - right.contextTokens;
}

function compareRank(left: types.RunningGeneration, right: types.RunningGeneration): number {
  return (
    left.suspensionsCount - right.suspensionsCount ||
    priorities.priorityOf(right.need.class) - priorities.priorityOf(left.need.class)
  );
}

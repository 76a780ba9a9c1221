import * as priorities from "../priorityOf/index.js";
import type * as types from "../types.js";

/**
 * Chooses generations to suspend until enough memory is free: those never suspended before those
 * that were, the least urgent class first, and among equals as few as possible, each no larger
 * than needed.
 *
 * @param running - what runs on the engine
 * @param tokensToFree - memory needed, in tokens
 * @returns request ids, the first to be suspended first; never all that runs
 */
export function selectVictims(
  running: readonly types.RunningGeneration[],
  tokensToFree: number,
): readonly string[] {
  const candidates = [...running].sort(compareCost);
  const victims: string[] = [];
  let leftTokens = tokensToFree;
  while (leftTokens > 0 && candidates.length > 1) {
    const victim = candidates.splice(bestFitIndex(candidates, leftTokens), 1)[0];
    if (victim === undefined) break;
    victims.push(victim.need.requestId);
    leftTokens -= victim.contextTokens;
  }
  return victims;
}

/** The smallest of the cheapest candidates that is large enough, or else the largest of them. */
function bestFitIndex(candidates: readonly types.RunningGeneration[], tokens: number): number {
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

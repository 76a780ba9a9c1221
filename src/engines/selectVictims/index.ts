import * as priorities from "../priorityOf/index.js";
import type * as types from "../types.js";

/**
 * Chooses the cheapest generations to suspend until enough memory is free. Nothing is suspended a
 * second time while something else was not suspended at all.
 *
 * @param running - what runs on the engine
 * @param tokensToFree - memory needed, in tokens
 * @returns request ids, the first to be suspended first; never all that runs
 */
export function selectVictims(
  running: readonly types.RunningGeneration[],
  tokensToFree: number,
): readonly string[] {
  if (tokensToFree <= 0) return [];
  const candidates = [...running].sort(byCost);
  const victims: string[] = [];
  let freedTokens = 0;
  for (const candidate of candidates.slice(0, -1)) {
    if (freedTokens >= tokensToFree) break;
    victims.push(candidate.need.requestId);
    freedTokens += candidate.contextTokens;
  }
  return victims;
}

/** Fewest suspensions first, then the least urgent class, then the least work sunk. */
function byCost(left: types.RunningGeneration, right: types.RunningGeneration): number {
  return (
    left.suspensionsCount - right.suspensionsCount ||
    priorities.priorityOf(right.need.class) - priorities.priorityOf(left.need.class) ||
    left.contextTokens - right.contextTokens
  );
}

import * as constants from "../constants.js";
import type * as types from "../types.js";

/**
 * The order in which waiting generations are tried, the same at all VMs: the most urgent first;
 * among equals those that can still meet their objective, by how little time is left; then those
 * that are late, the longest waiting first.
 */
export function orderWaiting<T extends types.WaitingGeneration>(
  waiting: readonly T[],
  nowWallMs: number,
): readonly T[] {
  return [...waiting].sort((left, right) => compareWaiting(left, right, nowWallMs));
}

/**
 * Whether others may be tried before a generation that found no room. Past a short while they may
 * not, so that large ones do not starve among small ones.
 */
export function mayBeOvertaken(waiting: types.WaitingGeneration, nowWallMs: number): boolean {
  return nowWallMs - waiting.enqueuedAtWallMs < constants.OVERTAKING_LIMIT_MS;
}

function compareWaiting(
  left: types.WaitingGeneration,
  right: types.WaitingGeneration,
  nowWallMs: number,
): number {
  if (left.priority !== right.priority) return left.priority - right.priority;
  const isLeftLate = left.objectiveAtWallMs < nowWallMs;
  const isRightLate = right.objectiveAtWallMs < nowWallMs;
  if (isLeftLate !== isRightLate) return isLeftLate ? 1 : -1;
  const difference = isLeftLate
    ? left.enqueuedAtWallMs - right.enqueuedAtWallMs
    : left.objectiveAtWallMs - right.objectiveAtWallMs;
  return difference !== 0 ? difference : left.requestId < right.requestId ? -1 : 1;
}

import * as constants from "../constants.js";
import type * as types from "../types.js";

/**
 * Sorts waiting generations into queue order, the same on all VMs: by priority; within a priority
 * those that can still meet their objective, the least time left first; then those that are late,
 * the longest waiting first. Equal generations are ordered by request id.
 */
export function orderWaiting<T extends types.WaitingGeneration>(
  waiting: readonly T[],
  nowWallMs: number,
): readonly T[] {
  return [...waiting].sort((left, right) => compareWaiting(left, right, nowWallMs));
}

/**
 * Whether later generations may use any engine before one that fits nowhere. After a bounded wait
 * it may reserve an engine instead, so that small generations do not starve large ones.
 */
export function canBeBypassed(waiting: types.WaitingGeneration, nowWallMs: number): boolean {
  return nowWallMs - waiting.enqueuedAtWallMs < constants.BYPASS_LIMIT_MS;
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

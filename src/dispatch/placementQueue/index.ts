import * as constants from "../constants.js";

/** A generation that waits for room. */
export interface WaitingGeneration {
  readonly requestId: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly neededTokens: number;
  readonly enqueuedAtMs: number;
  /** When the objective for the first event runs out. */
  readonly objectiveAtMs: number;
}

/**
 * The order in which waiting generations are tried: the most urgent first; among equals those
 * that can still meet their objective, by how little time is left; then those that are late, the
 * longest waiting first.
 */
export function orderWaiting<T extends WaitingGeneration>(
  waiting: readonly T[],
  nowMs: number,
): readonly T[] {
  return [...waiting].sort((left, right) => compareWaiting(left, right, nowMs));
}

/**
 * Whether others may be tried before a generation that found no room. Past a short while they may
 * not, so that large ones do not starve among small ones.
 */
export function mayBeOvertaken(waiting: WaitingGeneration, nowMs: number): boolean {
  return nowMs - waiting.enqueuedAtMs < constants.OVERTAKING_LIMIT_MS;
}

function compareWaiting(left: WaitingGeneration, right: WaitingGeneration, nowMs: number): number {
  if (left.priority !== right.priority) return left.priority - right.priority;
  const isLeftLate = left.objectiveAtMs < nowMs;
  const isRightLate = right.objectiveAtMs < nowMs;
  if (isLeftLate !== isRightLate) return isLeftLate ? 1 : -1;
  if (isLeftLate) return left.enqueuedAtMs - right.enqueuedAtMs;
  return left.objectiveAtMs - right.objectiveAtMs;
}

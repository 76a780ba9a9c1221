import type * as types from "../types.js";

/** Returns the log lines of a request from all VMs, ordered by `compareLines`. */
export function findRequestHistory(
  lines: readonly types.LogLine[],
  requestId: string,
): readonly types.LogLine[] {
  return lines.filter((line) => line.requestId === requestId).sort(compareLines);
}

/** Compares two lines by time; lines of the same time keep the order in which they were read. */
export function compareLines(left: types.LogLine, right: types.LogLine): number {
  return left.atMs - right.atMs || left.index - right.index;
}

import type * as types from "../types.js";

/** A request's lines of all VMs in the order of time, those of one VM in the order written. */
export function requestHistory(
  lines: readonly types.LogLine[],
  requestId: string,
): readonly types.LogLine[] {
  return lines.filter((line) => line.requestId === requestId).sort(compareLines);
}

/** Earlier lines first; among equals, as they were read. */
export function compareLines(left: types.LogLine, right: types.LogLine): number {
  return left.atMs - right.atMs || left.index - right.index;
}

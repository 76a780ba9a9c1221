import type * as types from "../../types.js";

/**
 * Compares two positions of one topic: a later epoch goes before any offset, as offsets are given
 * out again after the store was restored.
 *
 * @returns a negative number if `left` is behind `right`, 0 if they are equal
 */
export function comparePositions(left: types.LogPosition, right: types.LogPosition): number {
  return left.epoch - right.epoch || left.endOffset - right.endOffset;
}

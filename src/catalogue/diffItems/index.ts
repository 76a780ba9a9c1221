import type * as types from "../types.js";

type Fields = Readonly<Record<string, unknown>>;

/**
 * Lists the fields in which two items differ, in order of their paths.
 *
 * @param before - the current item; null if there is none
 * @param after - the proposed item; null if it is removed
 */
export function diffItems(
  before: types.CatalogueItem | null,
  after: types.CatalogueItem | null,
): types.ItemDifference[] {
  return diffFields({ ...before }, { ...after }, "");
}

function diffFields(before: Fields, after: Fields, prefix: string): types.ItemDifference[] {
  const names = [...new Set([...Object.keys(before), ...Object.keys(after)])].sort();
  return names.flatMap((name) => {
    const path = prefix === "" ? name : `${prefix}.${name}`;
    return diffValues(before[name], after[name], path);
  });
}

function diffValues(before: unknown, after: unknown, path: string): types.ItemDifference[] {
  if (hasFields(before) && hasFields(after)) return diffFields(before, after, path);
  if (JSON.stringify(before) === JSON.stringify(after)) return [];
  return [{ path, before, after }];
}

function hasFields(value: unknown): value is Fields {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

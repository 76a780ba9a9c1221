import type * as types from "../types.js";

type Fields = Readonly<Record<string, unknown>>;

/**
 * The fields in which two items differ, in order of their paths.
 *
 * @param before - the item that is in force; null where there is none
 * @param after - the item as proposed; null where it is removed
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
  if (isFields(before) && isFields(after)) return diffFields(before, after, path);
  if (JSON.stringify(before) === JSON.stringify(after)) return [];
  return [{ path, before, after }];
}

function isFields(value: unknown): value is Fields {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

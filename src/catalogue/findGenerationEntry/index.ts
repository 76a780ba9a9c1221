import * as indexedState from "../_lib/indexedState/index.js";
import * as types from "../types.js";

/**
 * Finds the generation entry that a caller names in `model`.
 *
 * @param state - the catalogue
 * @param name - the entry's name
 * @returns the entry, or undefined if there is none
 */
export function findGenerationEntry(
  state: types.CatalogueState,
  name: string,
): types.GenerationEntry | undefined {
  const item = indexedState.getItemsOfKind(state, types.ItemKind.Generation).get(name)?.item;
  return item?.kind === types.ItemKind.Generation ? item : undefined;
}

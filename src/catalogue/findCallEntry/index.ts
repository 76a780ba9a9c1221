import * as indexedState from "../_lib/indexedState/index.js";
import * as types from "../types.js";

/**
 * Finds the entry of a call to a plain service.
 *
 * @param state - the catalogue
 * @param name - the entry's name
 * @returns the entry, or undefined if there is none
 */
export function findCallEntry(
  state: types.CatalogueState,
  name: string,
): types.CallEntry | undefined {
  const item = indexedState.getItemsOfKind(state, types.ItemKind.Call).get(name)?.item;
  return item?.kind === types.ItemKind.Call ? item : undefined;
}

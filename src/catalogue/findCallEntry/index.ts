import * as indexedState from "../_lib/indexedState/index.js";
import * as types from "../types.js";

/**
 * The entry of a plain service's call.
 *
 * @param state - the catalogue
 * @param name - the entry's name
 * @returns the entry, or undefined where there is none
 */
export function findCallEntry(
  state: types.CatalogueState,
  name: string,
): types.CallEntry | undefined {
  const item = indexedState.itemsOfKind(state, types.ItemKind.Call).get(name)?.item;
  return item?.kind === types.ItemKind.Call ? item : undefined;
}

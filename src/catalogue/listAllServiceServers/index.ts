import * as indexedState from "../_lib/indexedState/index.js";
import * as types from "../types.js";

/**
 * Lists the servers of all plain services, in no particular order.
 *
 * @param state - the catalogue
 */
export function listAllServiceServers(state: types.CatalogueState): types.ServiceBackend[] {
  return [...indexedState.getItemsOfKind(state, types.ItemKind.Service).values()]
    .map((revised) => revised.item)
    .filter((item) => item.kind === types.ItemKind.Service);
}

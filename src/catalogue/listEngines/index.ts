import * as indexedState from "../_lib/indexedState/index.js";
import * as types from "../types.js";

const lists = new WeakMap<object, readonly types.EngineBackend[]>();

/**
 * Lists all engines in the catalogue; returns the same array until an engine's item changes.
 *
 * @param state - the catalogue
 */
export function listEngines(state: types.CatalogueState): readonly types.EngineBackend[] {
  const items = indexedState.getItemsOfKind(state, types.ItemKind.Engine);
  const cached = lists.get(items);
  if (cached !== undefined) return cached;
  const engines = [...items.values()]
    .map((revised) => revised.item)
    .filter((item) => item.kind === types.ItemKind.Engine);
  lists.set(items, engines);
  return engines;
}

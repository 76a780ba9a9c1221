import * as indexedState from "../_lib/indexedState/index.js";
import * as types from "../types.js";

const lists = new WeakMap<object, readonly types.EngineBackend[]>();

/**
 * All engines in the catalogue; the same array as long as no engine's item changes.
 *
 * @param state - the catalogue
 */
export function listEngines(state: types.CatalogueState): readonly types.EngineBackend[] {
  const items = indexedState.itemsOfKind(state, types.ItemKind.Engine);
  const known = lists.get(items);
  if (known !== undefined) return known;
  const engines = [...items.values()]
    .map((revised) => revised.item)
    .filter((item) => item.kind === types.ItemKind.Engine);
  lists.set(items, engines);
  return engines;
}

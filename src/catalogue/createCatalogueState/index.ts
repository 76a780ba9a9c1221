import * as persistentMap from "../../_lib/persistentMap/index.js";
import * as indexedState from "../_lib/indexedState/index.js";
import type * as types from "../types.js";

/**
 * Creates a catalogue state with the given items and no recorded change ids.
 *
 * @param appliedOffset - offset of the last record that the items reflect; -1 for none
 * @param items - the items with their revisions
 */
export function createCatalogueState(
  appliedOffset = -1,
  items: Iterable<types.RevisedItem> = [],
): indexedState.IndexedState {
  const entries = [...items].map((revised): [string, types.RevisedItem] => [
    indexedState.formatItemKey(revised.item.kind, revised.item.name),
    revised,
  ]);
  return {
    appliedOffset,
    items: persistentMap.PersistentMap.from(entries),
    indexes: indexedState.buildIndexes(entries.map(([, revised]) => revised)),
    youngerChanges: persistentMap.PersistentMap.empty(),
    olderChanges: persistentMap.PersistentMap.empty(),
  };
}

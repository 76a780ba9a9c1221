import * as indexedState from "../_lib/indexedState/index.js";
import * as types from "../types.js";

const lists = new WeakMap<object, ReadonlyMap<string, readonly types.ServiceBackend[]>>();

/**
 * Lists the servers of one plain service; returns the same array until a server's item changes.
 *
 * @param state - the catalogue
 * @param service - name of the service, as in call entries
 */
export function listServersOfService(
  state: types.CatalogueState,
  service: string,
): readonly types.ServiceBackend[] {
  const items = indexedState.getItemsOfKind(state, types.ItemKind.Service);
  let byService = lists.get(items);
  if (byService === undefined) {
    byService = groupByService(items.values());
    lists.set(items, byService);
  }
  return byService.get(service) ?? [];
}

function groupByService(
  items: Iterable<types.RevisedItem>,
): ReadonlyMap<string, readonly types.ServiceBackend[]> {
  const groups = new Map<string, types.ServiceBackend[]>();
  for (const { item } of items) {
    if (item.kind !== types.ItemKind.Service) continue;
    const group = groups.get(item.service) ?? [];
    group.push(item);
    groups.set(item.service, group);
  }
  return groups;
}

import * as util from "node:util";

import * as uuid from "uuid";

import type * as catalogue from "../../catalogue/index.js";
import type * as http from "../../http/index.js";

/** A change to one catalogue item, and the item before the change (null if it does not exist). */
export interface PlannedChange {
  readonly change: http.ProposedChange;
  readonly before: catalogue.CatalogueItem | null;
}

/**
 * Plans the changes that bring the catalogue to the desired items. Items that are already equal
 * need no change.
 *
 * @param current - the items in the catalogue
 * @param desired - the items to create or replace
 * @param options - `expectedRevision` is the base revision of each change; by default it is the
 *   current revision of the item
 */
export function planChanges(
  current: readonly catalogue.RevisedItem[],
  desired: readonly catalogue.CatalogueItem[],
  options: { readonly expectedRevision?: number } = {},
): readonly PlannedChange[] {
  const changes: PlannedChange[] = [];
  for (const item of desired) {
    const known = findItem(current, item.kind, item.name);
    if (known !== undefined && util.isDeepStrictEqual(known.item, item)) continue;
    const baseRevision = options.expectedRevision ?? known?.revision ?? null;
    changes.push(
      createPlannedChange(item.kind, item.name, baseRevision, item, known?.item ?? null),
    );
  }
  return changes;
}

/** Plans the removal of an item. */
export function planRemoval(known: catalogue.RevisedItem): PlannedChange {
  return createPlannedChange(known.item.kind, known.item.name, known.revision, null, known.item);
}

/** Finds an item by kind and name. */
export function findItem(
  items: readonly catalogue.RevisedItem[],
  kind: string,
  name: string,
): catalogue.RevisedItem | undefined {
  return items.find(({ item }) => `${item.kind}/${item.name}` === `${kind}/${name}`);
}

function createPlannedChange(
  kind: catalogue.ItemKind,
  name: string,
  baseRevision: number | null,
  item: catalogue.CatalogueItem | null,
  before: catalogue.CatalogueItem | null,
): PlannedChange {
  return { change: { changeId: uuid.v7(), kind, name, baseRevision, item }, before };
}

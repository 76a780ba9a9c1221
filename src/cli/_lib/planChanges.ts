import * as util from "node:util";

import * as uuid from "uuid";

import type * as catalogue from "../../catalogue/index.js";
import type * as http from "../../http/index.js";

/** A change that brings one item to its desired form. */
export interface PlannedChange {
  readonly change: http.ProposedChange;
  readonly before: catalogue.CatalogueItem | null;
}

/**
 * The changes that bring the catalogue to the desired items; equal items need none.
 *
 * @param current - the catalogue's items
 * @param desired - items as they shall be
 * @param options - the revision that the operator built on, where it was given
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
    changes.push(plan(item.kind, item.name, baseRevision, item, known?.item ?? null));
  }
  return changes;
}

/** The change that removes an item. */
export function planRemoval(known: catalogue.RevisedItem): PlannedChange {
  return plan(known.item.kind, known.item.name, known.revision, null, known.item);
}

/** The item of a kind and name. */
export function findItem(
  items: readonly catalogue.RevisedItem[],
  kind: string,
  name: string,
): catalogue.RevisedItem | undefined {
  return items.find(({ item }) => `${item.kind}/${item.name}` === `${kind}/${name}`);
}

function plan(
  kind: catalogue.ItemKind,
  name: string,
  baseRevision: number | null,
  item: catalogue.CatalogueItem | null,
  before: catalogue.CatalogueItem | null,
): PlannedChange {
  return { change: { changeId: uuid.v7(), kind, name, baseRevision, item }, before };
}

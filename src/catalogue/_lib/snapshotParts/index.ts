import * as zod from "zod";

import * as persistentMap from "../../../_lib/persistentMap/index.js";
import * as constants from "../../constants.js";
import * as createCatalogueState from "../../createCatalogueState/index.js";
import * as types from "../../types.js";
import type * as indexedState from "../indexedState/index.js";
import * as schemas from "../schemas/index.js";

const settledChange = zod.object({
  offset: zod.int().min(0),
  outcome: zod.enum(types.ChangeOutcomeKind),
  reason: zod.string(),
  currentRevision: zod.int().nullable(),
});
const changes = zod.array(zod.tuple([zod.string(), settledChange]));

/** One part of a snapshot: some items, or some of the change ids that are remembered. */
const snapshotPart = zod.object({
  items: zod.array(zod.object({ item: schemas.catalogueItem, revision: zod.int().min(0) })),
  youngerChanges: changes,
  olderChanges: changes,
});

type SnapshotPart = zod.infer<typeof snapshotPart>;

/** Splits a state into parts of bounded size; always at least one. */
export function* encodeParts(state: indexedState.IndexedState): Iterable<SnapshotPart> {
  const nothing: SnapshotPart = { items: [], youngerChanges: [], olderChanges: [] };
  yield nothing;
  for (const items of inGroups(state.items.values())) yield { ...nothing, items };
  for (const group of inGroups(state.youngerChanges.entries())) {
    yield { ...nothing, youngerChanges: group };
  }
  for (const group of inGroups(state.olderChanges.entries())) {
    yield { ...nothing, olderChanges: group };
  }
}

/** Puts a state together again; throws where a part breaks the format. */
export function decodeParts(
  coveredOffset: number,
  parts: readonly unknown[],
): indexedState.IndexedState {
  const parsed = parts.map((part) => snapshotPart.parse(part));
  const state = createCatalogueState.createCatalogueState(
    coveredOffset,
    parsed.flatMap((part) => part.items),
  );
  return {
    ...state,
    youngerChanges: persistentMap.PersistentMap.from(parsed.flatMap((part) => part.youngerChanges)),
    olderChanges: persistentMap.PersistentMap.from(parsed.flatMap((part) => part.olderChanges)),
  };
}

function* inGroups<T>(values: Iterable<T>): Iterable<T[]> {
  let group: T[] = [];
  for (const value of values) {
    group.push(value);
    if (group.length < constants.SNAPSHOT_ITEMS_PER_PART) continue;
    yield group;
    group = [];
  }
  if (group.length > 0) yield group;
}

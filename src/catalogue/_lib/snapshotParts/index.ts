import * as zod from "zod";

import * as persistentMap from "../../../_lib/persistentMap/index.js";
import * as constants from "../../constants.js";
import * as createCatalogueState from "../../createCatalogueState/index.js";
import * as types from "../../types.js";
import type * as indexedState from "../indexedState/index.js";
import * as schemas from "../schemas/index.js";

const recordedOutcome = zod.object({
  offset: zod.int().min(0),
  outcome: zod.enum(types.ChangeOutcomeKind),
  reason: zod.string(),
  currentRevision: zod.int().nullable(),
});
const changes = zod.array(zod.tuple([zod.string(), recordedOutcome]));

/** Schema of a snapshot part: some of the items, or some of the recorded change ids. */
const snapshotPart = zod.object({
  items: zod.array(zod.object({ item: schemas.catalogueItem, revision: zod.int().min(0) })),
  youngerChanges: changes,
  olderChanges: changes,
});

type SnapshotPart = zod.infer<typeof snapshotPart>;

/** Splits a state into parts with a bounded number of items; yields at least one part. */
export function* encodeParts(state: indexedState.IndexedState): Iterable<SnapshotPart> {
  const emptyPart: SnapshotPart = { items: [], youngerChanges: [], olderChanges: [] };
  yield emptyPart;
  for (const items of chunk(state.items.values())) yield { ...emptyPart, items };
  for (const group of chunk(state.youngerChanges.entries())) {
    yield { ...emptyPart, youngerChanges: group };
  }
  for (const group of chunk(state.olderChanges.entries())) {
    yield { ...emptyPart, olderChanges: group };
  }
}

/**
 * Restores a state from its parts.
 *
 * @throws a ZodError if a part has an invalid format
 */
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

function* chunk<T>(values: Iterable<T>): Iterable<T[]> {
  let group: T[] = [];
  for (const value of values) {
    group.push(value);
    if (group.length < constants.SNAPSHOT_ITEMS_PER_PART_COUNT) continue;
    yield group;
    group = [];
  }
  if (group.length > 0) yield group;
}

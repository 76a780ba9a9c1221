import * as persistentMap from "../../../_lib/persistentMap/index.js";
import type * as types from "../../types.js";

/** Recorded outcome of a change, kept to detect a repeated change id. */
export interface RecordedOutcome {
  readonly offset: number;
  readonly outcome: types.ChangeOutcomeKind;
  readonly reason: string;
  readonly currentRevision: number | null;
}

/** Indexes of the items, updated with every change. */
export interface Indexes {
  readonly byKind: ReadonlyMap<types.ItemKind, persistentMap.PersistentMap<types.RevisedItem>>;
  readonly accountNameByKeyHash: persistentMap.PersistentMap<string>;
}

/** The replica's internal state: the catalogue with its indexes and the recorded change ids. */
export interface IndexedState extends types.CatalogueState {
  readonly items: persistentMap.PersistentMap<types.RevisedItem>;
  readonly indexes: Indexes;
  readonly youngerChanges: persistentMap.PersistentMap<RecordedOutcome>;
  readonly olderChanges: persistentMap.PersistentMap<RecordedOutcome>;
}

const cachedIndexes = new WeakMap<types.CatalogueState, Indexes>();

/** Returns the key of an item, `kind/name`. */
export function formatItemKey(kind: types.ItemKind, name: string): string {
  return `${kind}/${name}`;
}

/** Returns the indexes of a state; builds and caches them for a state without its own. */
export function getIndexes(state: types.CatalogueState): Indexes {
  if (isIndexed(state)) return state.indexes;
  const cached = cachedIndexes.get(state);
  if (cached !== undefined) return cached;
  const built = buildIndexes(state.items.values());
  cachedIndexes.set(state, built);
  return built;
}

/** Builds the indexes of all items in one pass. */
export function buildIndexes(items: Iterable<types.RevisedItem>): Indexes {
  const entriesByKind = new Map<types.ItemKind, [string, types.RevisedItem][]>();
  const keyHashes: [string, string][] = [];
  for (const revised of items) {
    const entries = entriesByKind.get(revised.item.kind) ?? [];
    entries.push([revised.item.name, revised]);
    entriesByKind.set(revised.item.kind, entries);
    for (const hash of listKeyHashes(revised.item)) keyHashes.push([hash, revised.item.name]);
  }
  const byKind = new Map(
    [...entriesByKind].map(([kind, entries]) => [kind, persistentMap.PersistentMap.from(entries)]),
  );
  return { byKind, accountNameByKeyHash: persistentMap.PersistentMap.from(keyHashes) };
}

/**
 * Returns the indexes after one item was replaced.
 *
 * @param before - the previous item; undefined if it did not exist
 * @param after - the new item; undefined if it was removed
 */
export function updateIndexes(
  indexes: Indexes,
  before: types.RevisedItem | undefined,
  after: types.RevisedItem | undefined,
): Indexes {
  const changed = after ?? before;
  if (changed === undefined) return indexes;
  const { kind, name } = changed.item;
  const ofKind = indexes.byKind.get(kind) ?? persistentMap.PersistentMap.empty<types.RevisedItem>();
  const byKind = new Map(indexes.byKind);
  byKind.set(kind, after === undefined ? ofKind.without(name) : ofKind.with(name, after));
  let accountNameByKeyHash = indexes.accountNameByKeyHash;
  for (const hash of listKeyHashes(before?.item)) {
    accountNameByKeyHash = accountNameByKeyHash.without(hash);
  }
  for (const hash of listKeyHashes(after?.item)) {
    accountNameByKeyHash = accountNameByKeyHash.with(hash, name);
  }
  return { byKind, accountNameByKeyHash };
}

/** Returns the items of one kind, by name. */
export function getItemsOfKind(
  state: types.CatalogueState,
  kind: types.ItemKind,
): ReadonlyMap<string, types.RevisedItem> {
  return getIndexes(state).byKind.get(kind) ?? EMPTY_ITEMS;
}

/** Returns the key hashes of an account; none for other items. */
export function listKeyHashes(item: types.CatalogueItem | undefined): readonly string[] {
  return item !== undefined && "keyHashes" in item ? item.keyHashes : [];
}

const EMPTY_ITEMS: ReadonlyMap<string, types.RevisedItem> = new Map();

function isIndexed(state: types.CatalogueState): state is IndexedState {
  return "indexes" in state;
}

import * as persistentMap from "../../../_lib/persistentMap/index.js";
import type * as types from "../../types.js";

/** What was decided about a change, kept to recognise a repeated one. */
export interface SettledChange {
  readonly offset: number;
  readonly outcome: types.ChangeOutcomeKind;
  readonly reason: string;
  readonly currentRevision: number | null;
}

/** Indexes over the items, kept in step with them. */
export interface Indexes {
  readonly byKind: ReadonlyMap<types.ItemKind, persistentMap.PersistentMap<types.RevisedItem>>;
  readonly accountNameByKeyHash: persistentMap.PersistentMap<string>;
}

/** The replica's own state: what others see, with its indexes and the change ids it remembers. */
export interface IndexedState extends types.CatalogueState {
  readonly items: persistentMap.PersistentMap<types.RevisedItem>;
  readonly indexes: Indexes;
  readonly youngerChanges: persistentMap.PersistentMap<SettledChange>;
  readonly olderChanges: persistentMap.PersistentMap<SettledChange>;
}

const builtIndexes = new WeakMap<types.CatalogueState, Indexes>();

/** Key of an item among all items. */
export function itemKey(kind: types.ItemKind, name: string): string {
  return `${kind}/${name}`;
}

/** The indexes of a state; built once for a state that was put together without them. */
export function indexesOf(state: types.CatalogueState): Indexes {
  if (isIndexed(state)) return state.indexes;
  const known = builtIndexes.get(state);
  if (known !== undefined) return known;
  const built = buildIndexes(state.items.values());
  builtIndexes.set(state, built);
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
    for (const hash of keyHashesOf(revised.item)) keyHashes.push([hash, revised.item.name]);
  }
  const byKind = new Map(
    [...entriesByKind].map(([kind, entries]) => [kind, persistentMap.PersistentMap.from(entries)]),
  );
  return { byKind, accountNameByKeyHash: persistentMap.PersistentMap.from(keyHashes) };
}

/** Indexes after one item was put in place of another; either may be missing. */
export function reindex(
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
  for (const hash of keyHashesOf(before?.item)) {
    accountNameByKeyHash = accountNameByKeyHash.without(hash);
  }
  for (const hash of keyHashesOf(after?.item)) {
    accountNameByKeyHash = accountNameByKeyHash.with(hash, name);
  }
  return { byKind, accountNameByKeyHash };
}

/** Items of one kind by name. */
export function itemsOfKind(
  state: types.CatalogueState,
  kind: types.ItemKind,
): ReadonlyMap<string, types.RevisedItem> {
  return indexesOf(state).byKind.get(kind) ?? EMPTY_ITEMS;
}

/** Key hashes of an account; none for anything else. */
export function keyHashesOf(item: types.CatalogueItem | undefined): readonly string[] {
  return item !== undefined && "keyHashes" in item ? item.keyHashes : [];
}

const EMPTY_ITEMS: ReadonlyMap<string, types.RevisedItem> = new Map();

function isIndexed(state: types.CatalogueState): state is IndexedState {
  return "indexes" in state;
}

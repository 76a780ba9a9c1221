import * as fc from "fast-check";
import tap from "tap";

import type * as indexedState from "../_lib/indexedState/index.js";
import * as snapshotParts from "../_lib/snapshotParts/index.js";
import * as createCatalogueState from "../createCatalogueState/index.js";
import * as findAccountByKeyHash from "../findAccountByKeyHash/index.js";
import * as listEngines from "../listEngines/index.js";
import * as types from "../types.js";
import * as applyRecord from "./index.js";

const HASHES = ["a", "b"].map((digit) => digit.repeat(64));

/** Placeholder that is replaced by the item's revision when the change is applied. */
const CURRENT_REVISION = -1;

/** Arbitrary changes to few accounts and engines, so that many conflict. */
const change = fc
  .record({
    type: fc.constant("change"),
    changeId: fc.integer({ min: 0, max: 40 }).map(String),
    operator: fc.constant("op"),
    kind: fc.constantFrom(types.ItemKind.Account, types.ItemKind.Engine),
    name: fc.constantFrom("x", "y", "z"),
    baseRevision: fc.constantFrom(CURRENT_REVISION, CURRENT_REVISION, CURRENT_REVISION, null, 0, 1),
    isRemoval: fc.boolean(),
    hash: fc.constantFrom(...HASHES),
  })
  .map(({ isRemoval, hash, ...fields }) => {
    const item = isRemoval ? null : createItem(fields.kind, fields.name, hash);
    return { ...fields, item };
  });

const payload = fc.oneof({ weight: 6, arbitrary: change }, fc.anything());

function createItem(kind: types.ItemKind, name: string, hash: string): object {
  if (kind === types.ItemKind.Account) return { kind, name, owner: "o", keyHashes: [hash] };
  return { kind, name, dataCentre: "dc", url: "http://127.0.0.1:1", memoryTokens: 10 };
}

function applyAll(
  payloads: readonly unknown[],
  from = createCatalogueState.createCatalogueState(),
): indexedState.IndexedState {
  return payloads.reduce<indexedState.IndexedState>((state, value) => {
    const built = isBasedOnCurrent(value) ? withCurrentRevision(state, value) : value;
    const record = { offset: state.appliedOffset + 1, appendedAtWallMs: 0, payload: built };
    return applyRecord.applyRecord(state, record).state;
  }, from);
}

interface GeneratedChange {
  readonly kind: string;
  readonly name: string;
  readonly baseRevision: number;
}

function isBasedOnCurrent(value: unknown): value is GeneratedChange {
  return (value as GeneratedChange | null | undefined)?.baseRevision === CURRENT_REVISION;
}

function withCurrentRevision(state: types.CatalogueState, value: GeneratedChange): object {
  const revised = state.items.get(`${value.kind}/${value.name}`);
  return { ...value, baseRevision: revised?.revision ?? null };
}

function toComparable(state: indexedState.IndexedState): unknown {
  const sorted = (map: ReadonlyMap<string, unknown>): unknown[] =>
    [...map].sort(([left], [right]) => (left < right ? -1 : 1));
  const changes = [...sorted(state.youngerChanges), ...sorted(state.olderChanges)];
  return JSON.parse(JSON.stringify([state.appliedOffset, sorted(state.items), changes]));
}

tap.test(
  "a state restored from a snapshot at any offset ends in the same state as applying all records",
  async (t) => {
    fc.assert(
      fc.property(fc.array(payload, { maxLength: 40 }), fc.nat(40), (payloads, at) => {
        const before = applyAll(payloads.slice(0, at));
        const parts = [...snapshotParts.encodeParts(before)];
        const restored = snapshotParts.decodeParts(before.appliedOffset, parts);
        const continued = applyAll(payloads.slice(at), restored);
        return (
          JSON.stringify(toComparable(continued)) ===
          JSON.stringify(toComparable(applyAll(payloads)))
        );
      }),
      { seed: 3, numRuns: 300 },
    );
    t.pass();
  },
);

tap.test("the indexes match the items after any records", async (t) => {
  fc.assert(
    fc.property(fc.array(payload, { maxLength: 60 }), (payloads) => {
      const state = applyAll(payloads);
      const rebuilt: types.CatalogueState = {
        appliedOffset: state.appliedOffset,
        items: new Map(state.items),
      };
      const namesOf = (of: types.CatalogueState): unknown => [
        HASHES.map((hash) => findAccountByKeyHash.findAccountByKeyHash(of, hash)?.name),
        listEngines
          .listEngines(of)
          .map((engine) => engine.name)
          .sort(),
      ];
      return JSON.stringify(namesOf(state)) === JSON.stringify(namesOf(rebuilt));
    }),
    { seed: 3, numRuns: 300 },
  );
  t.pass();
});

const vmChange = (changeId: string, baseRevision: number | null, isRemoval = false): object => ({
  type: "change",
  changeId,
  operator: "op",
  kind: "vm",
  name: "vm-1",
  baseRevision,
  item: isRemoval ? null : { kind: "vm", name: "vm-1", state: "active" },
});

tap.test("a change based on an older revision is a conflict", async (t) => {
  const state = applyAll([vmChange("1", null), vmChange("2", 0), vmChange("3", 0)]);
  t.equal(state.items.get("vm/vm-1")?.revision, 1);
  t.match(applyRecord.findRecordedOutcome(state, "3"), { outcome: "conflict", currentRevision: 1 });
});

tap.test("a repeated change id has no effect, even after the item was removed", async (t) => {
  const state = applyAll([vmChange("1", null), vmChange("2", 0, true), vmChange("1", null)]);
  t.equal(state.items.size, 0);
});

tap.test("a change that uses a key hash of another account is invalid", async (t) => {
  const account = (name: string): object => ({
    ...vmChange(name, null),
    kind: "account",
    name,
    item: { kind: "account", name, owner: "o", keyHashes: [HASHES[0]] },
  });
  const state = applyAll([account("x"), account("y")]);
  t.same([...state.items.keys()], ["account/x"]);
  t.match(applyRecord.findRecordedOutcome(state, "y"), { outcome: "invalid", reason: /account x/ });
});

tap.test("a record at an offset that was already applied has no effect", async (t) => {
  const state = applyAll([vmChange("1", null)]);
  const again = { offset: 0, appendedAtWallMs: 0, payload: vmChange("9", 0, true) };
  t.equal(applyRecord.applyRecord(state, again).state, state);
});

import * as fastCheck from "fast-check";
import * as msgpackr from "msgpackr";
import tap from "tap";

import * as countItems from "./index.js";

/** Counts the items of a value: itself, and those of an array or of a map with its keys. */
function countOf(value: unknown): number {
  if (Array.isArray(value)) return value.reduce((sum: number, item) => sum + countOf(item), 1);
  if (value === null || typeof value !== "object" || value instanceof Uint8Array) return 1;
  return Object.values(value).reduce((sum: number, item) => sum + 1 + countOf(item), 1);
}

tap.test("the items of all kinds that VMs send are counted", async (t) => {
  const value = fastCheck.letrec((tie) => ({
    item: fastCheck.oneof(
      fastCheck.string({ maxLength: 300 }),
      fastCheck.integer(),
      fastCheck.double(),
      fastCheck.constantFrom(null, true, false, 2 ** 45, -(2 ** 45), "a".repeat(70_000)),
      fastCheck.uint8Array({ maxLength: 300 }).map((bytes) => Buffer.from(bytes)),
      fastCheck.array(tie("item"), { maxLength: 20 }),
      fastCheck.dictionary(fastCheck.string({ minLength: 1 }), tie("item"), { maxKeys: 20 }),
    ),
  })).item;
  fastCheck.assert(
    fastCheck.property(value, (item) => {
      return countItems.countItems(msgpackr.pack(item), Infinity) === countOf(item);
    }),
    { seed: 5, numRuns: 500 },
  );
  t.equal(countItems.countItems(msgpackr.pack([1, 2, 3]), 4), 4);
  t.equal(countItems.countItems(msgpackr.pack([1, 2, 3]), 3), null);
});

tap.test("data of other kinds, and lengths that are cut off, are not counted", async (t) => {
  t.equal(countItems.countItems(msgpackr.pack(new Date()), 10), null);
  t.equal(countItems.countItems(Buffer.from([0xdb, 0, 0]), 10), null);
});

import * as fastCheck from "fast-check";
import tap from "tap";

import * as virtualClocks from "../../_lib/virtualClock/index.js";
import * as ageClocks from "../_lib/ageClock/index.js";
import * as sharedView from "../index.js";

const { ViewSource } = sharedView;

class Listener implements sharedView.ReplicaListener {
  readonly values = new Map<string, number>();
  /** Offsets of a key in the order in which they were told. */
  readonly told: [string, number][] = [];

  onRecords(records: readonly sharedView.ViewRecord[]): void {
    for (const { key, offset, value } of records) {
      this.told.push([key, offset]);
      if (value === null) this.values.delete(key);
      else this.values.set(key, offset);
    }
  }

  onListing(records: readonly sharedView.ViewRecord[]): void {
    this.values.clear();
    for (const { key, offset } of records) {
      this.told.push([key, offset]);
      this.values.set(key, offset);
    }
  }
}

function setUp(): {
  readonly clock: virtualClocks.VirtualClock;
  readonly listener: Listener;
  readonly replica: sharedView.TopicReplica;
} {
  const clock = new virtualClocks.VirtualClock();
  const listener = new Listener();
  return { clock, listener, replica: new sharedView.TopicReplica(clock, listener) };
}

function record(key: string, offset: number, isDropped = false): sharedView.ViewRecord {
  return { key, offset, value: isDropped ? null : Buffer.from(String(offset)) };
}

tap.test("records that follow are taken, records with a gap before them are not", async (t) => {
  const { clock, listener, replica } = setUp();
  const now = ageClocks.nowOf(clock);
  replica.applyListing({ records: [record("a", 3)], endOffset: 5 }, now, ViewSource.Store);
  const next = { records: [record("b", 5)], endOffset: 6 };
  t.ok(replica.applyRecords(5, next, now, ViewSource.Peer));
  const gapped = { records: [record("c", 8)], endOffset: 9 };
  t.notOk(replica.applyRecords(8, gapped, now, ViewSource.Peer));
  t.same(
    [...listener.values],
    [
      ["a", 3],
      ["b", 5],
    ],
  );
  t.equal(replica.endOffset, 6);
});

tap.test("nothing is known before the first listing", async (t) => {
  const { clock, replica } = setUp();
  t.notOk(replica.isKnown);
  t.equal(replica.ageMs, Infinity);
  const batch = { records: [record("a", 0)], endOffset: 1 };
  t.notOk(replica.applyRecords(0, batch, ageClocks.nowOf(clock), ViewSource.Peer));
});

tap.test("a listing that ends before what is known changes nothing", async (t) => {
  const { clock, listener, replica } = setUp();
  const now = ageClocks.nowOf(clock);
  replica.applyListing({ records: [record("a", 7)], endOffset: 8 }, now, ViewSource.Store);
  t.notOk(replica.applyListing({ records: [], endOffset: 7 }, now, ViewSource.Peer));
  t.equal(listener.values.get("a"), 7);
});

tap.test(
  "the age counts from the last confirmation, and older ones do not set it back",
  async (t) => {
    const { clock, replica } = setUp();
    const start = ageClocks.nowOf(clock);
    replica.applyListing({ records: [], endOffset: 0 }, start, ViewSource.Store);
    await clock.runForMs(500);
    t.equal(replica.ageMs, 500);
    replica.confirm(0, ageClocks.nowOf(clock));
    replica.confirm(0, start);
    t.equal(replica.ageMs, 0);
  },
);

tap.test("a confirmation of records that are not known here confirms nothing", async (t) => {
  const { clock, replica } = setUp();
  replica.applyListing({ records: [], endOffset: 4 }, ageClocks.nowOf(clock), ViewSource.Store);
  await clock.runForMs(300);
  replica.confirm(5, ageClocks.nowOf(clock));
  t.equal(replica.ageMs, 300);
});

tap.test("a machine that was suspended counts that time", async (t) => {
  const { clock, replica } = setUp();
  const now = ageClocks.nowOf(clock);
  const suspended = { steadyMs: now.steadyMs, wallMs: now.wallMs - 4_000 };
  replica.applyListing({ records: [], endOffset: 0 }, suspended, ViewSource.Store);
  t.equal(replica.ageMs, 4_000);
});

tap.test("histories: from store and peers in any order, no key ever goes back", async () => {
  const step = fastCheck.record({
    isListing: fastCheck.boolean(),
    from: fastCheck.integer({ min: 0, max: 12 }),
    count: fastCheck.integer({ min: 0, max: 5 }),
  });
  fastCheck.assert(
    fastCheck.property(fastCheck.array(step, { maxLength: 25 }), (steps) => {
      const { clock, listener, replica } = setUp();
      const now = ageClocks.nowOf(clock);
      let lastEnd = -1;
      for (const { isListing, from, count } of steps) {
        const endOffset = from + count;
        if (isListing) {
          replica.applyListing(listingUpTo(endOffset), now, ViewSource.Peer);
        } else {
          const records = recordsBetween(from, endOffset);
          replica.applyRecords(from, { records, endOffset }, now, ViewSource.Peer);
        }
        if (replica.endOffset < lastEnd) return false;
        lastEnd = replica.endOffset;
      }
      return isConsistent(listener, replica);
    }),
    { seed: 3, numRuns: 1_000 },
  );
});

/** The log of the histories: key k0 to k2 by turns. */
function recordsBetween(from: number, endOffset: number): readonly sharedView.ViewRecord[] {
  return Array.from({ length: endOffset - from }, (_, index) => {
    const offset = from + index;
    return record(`k${offset % 3}`, offset);
  });
}

function listingUpTo(endOffset: number): sharedView.RecordBatch {
  const newest = new Map(
    recordsBetween(0, endOffset).map((item): [string, sharedView.ViewRecord] => [item.key, item]),
  );
  return { records: [...newest.values()], endOffset };
}

/** What was told last of each key is the newest record before the known end. */
function isConsistent(listener: Listener, replica: sharedView.TopicReplica): boolean {
  if (!replica.isKnown) return listener.values.size === 0;
  const expected = listingUpTo(replica.endOffset).records;
  return (
    expected.length === listener.values.size &&
    expected.every(({ key, offset }) => listener.values.get(key) === offset)
  );
}

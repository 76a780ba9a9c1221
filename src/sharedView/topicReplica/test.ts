import * as fastCheck from "fast-check";
import tap from "tap";

import * as virtualClocks from "../../_lib/virtualClock/index.js";
import * as clockReadings from "../_lib/clockReading/index.js";
import * as sharedView from "../index.js";

const { ViewSource } = sharedView;

class Listener implements sharedView.ReplicaListener {
  readonly values = new Map<string, number>();
  /** Keys and offsets in the order in which the listener was notified of them. */
  readonly notified: [string, number][] = [];
  /** First keys and numbers of the records that were turned away. */
  readonly turnedAway: [string, number][] = [];

  onRecords(records: readonly sharedView.ViewRecord[]): void {
    for (const { key, offset, value } of records) {
      this.notified.push([key, offset]);
      if (value === null) this.values.delete(key);
      else this.values.set(key, offset);
    }
  }

  onTurnedAway({ first, recordsCount }: sharedView.LeftOutRecords): void {
    this.turnedAway.push([first.key, recordsCount]);
  }

  onListing(records: readonly sharedView.ViewRecord[]): void {
    this.values.clear();
    for (const { key, offset } of records) {
      this.notified.push([key, offset]);
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

function record(key: string, offset: number, isDeleted = false): sharedView.ViewRecord {
  return { key, offset, value: isDeleted ? null : Buffer.from(String(offset)) };
}

tap.test("contiguous records are applied, records after a gap are not", async (t) => {
  const { clock, listener, replica } = setUp();
  const now = clockReadings.readClocks(clock);
  replica.applyListing(
    { records: [record("a", 3)], endOffset: 5, epoch: 0 },
    now,
    ViewSource.Store,
  );
  const next = { records: [record("b", 5)], endOffset: 6, epoch: 0 };
  t.ok(replica.applyRecords(5, next, now, ViewSource.Peer));
  const gapped = { records: [record("c", 8)], endOffset: 9, epoch: 0 };
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

tap.test("records are not applied before the first listing", async (t) => {
  const { clock, replica } = setUp();
  t.notOk(replica.isKnown);
  t.equal(replica.ageMs, Infinity);
  const batch = { records: [record("a", 0)], endOffset: 1, epoch: 0 };
  t.notOk(replica.applyRecords(0, batch, clockReadings.readClocks(clock), ViewSource.Peer));
});

tap.test("a listing that ends before the known records changes nothing", async (t) => {
  const { clock, listener, replica } = setUp();
  const now = clockReadings.readClocks(clock);
  replica.applyListing(
    { records: [record("a", 7)], endOffset: 8, epoch: 0 },
    now,
    ViewSource.Store,
  );
  t.notOk(replica.applyListing({ records: [], endOffset: 7, epoch: 0 }, now, ViewSource.Peer));
  t.equal(listener.values.get("a"), 7);
});

tap.test(
  "the age counts from the latest confirmation, and an older one does not raise it",
  async (t) => {
    const { clock, replica } = setUp();
    const start = clockReadings.readClocks(clock);
    replica.applyListing({ records: [], endOffset: 0, epoch: 0 }, start, ViewSource.Store);
    await clock.runForMs(500);
    t.equal(replica.ageMs, 500);
    replica.confirm({ epoch: 0, endOffset: 0 }, clockReadings.readClocks(clock));
    replica.confirm({ epoch: 0, endOffset: 0 }, start);
    t.equal(replica.ageMs, 0);
  },
);

tap.test("a confirmation of an end offset beyond the known records is ignored", async (t) => {
  const { clock, replica } = setUp();
  replica.applyListing(
    { records: [], endOffset: 4, epoch: 0 },
    clockReadings.readClocks(clock),
    ViewSource.Store,
  );
  await clock.runForMs(300);
  replica.confirm({ epoch: 0, endOffset: 5 }, clockReadings.readClocks(clock));
  t.equal(replica.ageMs, 300);
});

tap.test("the age includes time during which the VM was suspended", async (t) => {
  const { clock, replica } = setUp();
  const now = clockReadings.readClocks(clock);
  const suspended = { steadyMs: now.steadyMs, wallMs: now.wallMs - 4_000 };
  replica.applyListing({ records: [], endOffset: 0, epoch: 0 }, suspended, ViewSource.Store);
  t.equal(replica.ageMs, 4_000);
});

tap.test(
  "listings and records applied in any order never replace a record by an older one",
  async () => {
    const step = fastCheck.record({
      isListing: fastCheck.boolean(),
      from: fastCheck.integer({ min: 0, max: 12 }),
      count: fastCheck.integer({ min: 0, max: 5 }),
    });
    fastCheck.assert(
      fastCheck.property(fastCheck.array(step, { maxLength: 25 }), (steps) => {
        const { clock, listener, replica } = setUp();
        const now = clockReadings.readClocks(clock);
        let lastEnd = -1;
        for (const { isListing, from, count } of steps) {
          const endOffset = from + count;
          if (isListing) {
            replica.applyListing(listingUpTo(endOffset), now, ViewSource.Peer);
          } else {
            const records = recordsBetween(from, endOffset);
            replica.applyRecords(from, { records, endOffset, epoch: 0 }, now, ViewSource.Peer);
          }
          if (replica.endOffset < lastEnd) return false;
          lastEnd = replica.endOffset;
        }
        return isConsistent(listener, replica);
      }),
      { seed: 3, numRuns: 1_000 },
    );
  },
);

/** The records of the simulated topic, whose keys k0 to k2 alternate. */
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
  return { records: [...newest.values()], endOffset, epoch: 0 };
}

/** Whether the listener's latest record of each key is the newest before the known end offset. */
function isConsistent(listener: Listener, replica: sharedView.TopicReplica): boolean {
  if (!replica.isKnown) return listener.values.size === 0;
  const expected = listingUpTo(replica.endOffset).records;
  return (
    expected.length === listener.values.size &&
    expected.every(({ key, offset }) => listener.values.get(key) === offset)
  );
}

tap.test("a listing of a later epoch replaces records of higher offsets", async (t) => {
  const { clock, listener, replica } = setUp();
  const now = clockReadings.readClocks(clock);
  const before = { records: [record("a", 7), record("b", 8)], endOffset: 9, epoch: 0 };
  replica.applyListing(before, now, ViewSource.Store);
  const restored = { records: [record("a", 2)], endOffset: 3, epoch: 1 };
  t.ok(replica.applyListing(restored, now, ViewSource.Store));
  t.same([...listener.values], [["a", 2]]);
  t.notOk(replica.applyListing(before, now, ViewSource.Peer), "the former epoch is over");
});

tap.test("records of another epoch are not appended", async (t) => {
  const { clock, replica } = setUp();
  const now = clockReadings.readClocks(clock);
  replica.applyListing({ records: [], endOffset: 4, epoch: 1 }, now, ViewSource.Store);
  for (const epoch of [0, 2]) {
    const batch = { records: [record("a", 4)], endOffset: 5, epoch };
    t.notOk(replica.applyRecords(4, batch, now, ViewSource.Peer));
  }
  t.equal(replica.endOffset, 4);
});

tap.test("a confirmation of another epoch does not renew the age", async (t) => {
  const { clock, replica } = setUp();
  const start = clockReadings.readClocks(clock);
  replica.applyListing({ records: [], endOffset: 4, epoch: 1 }, start, ViewSource.Store);
  await clock.runForMs(300);
  replica.confirm({ epoch: 0, endOffset: 4 }, clockReadings.readClocks(clock));
  replica.confirm({ epoch: 2, endOffset: 4 }, clockReadings.readClocks(clock));
  t.equal(replica.ageMs, 300);
});

tap.test("a retained record is sent to peers after the store has lost it", async (t) => {
  const { clock, replica } = setUp();
  const now = clockReadings.readClocks(clock);
  const retained = record("a", 5);
  replica.applyListing({ records: [retained], endOffset: 6, epoch: 0 }, now, ViewSource.Store);
  replica.retain(retained, 2);
  replica.retain(record("a", 4), 1);
  t.equal(replica.snapshot().retained, retained, "also while it is among the records");
  replica.applyListing({ records: [], endOffset: 3, epoch: 1 }, now, ViewSource.Store);
  t.equal(replica.snapshot().retained, retained);
  const { epoch, endOffset } = replica.state;
  t.ok(replica.isBehind({ epoch, endOffset, revision: 3 }));
  t.notOk(replica.isBehind({ epoch, endOffset, revision: 2 }));
});

/** Records of keys of their own, with values of a record's largest size. */
function largeRecords(fromOffset: number, count: number): readonly sharedView.ViewRecord[] {
  const value = Buffer.alloc(262_144);
  return Array.from({ length: count }, (_, index) => {
    const offset = fromOffset + index;
    return { key: `odd-${offset}`, offset, value };
  });
}

// Guards against a process whose memory is used up by entries that another writer adds without end.
tap.test("records beyond the largest size of a topic are not kept", async (t) => {
  const { clock, listener, replica } = setUp();
  const now = clockReadings.readClocks(clock);
  const first = { records: [record("a", 0)], endOffset: 1, epoch: 0 };
  replica.applyListing(first, now, ViewSource.Store);
  for (let offset = 1; offset < 101; offset += 10) {
    const batch = { records: largeRecords(offset, 10), endOffset: offset + 10, epoch: 0 };
    t.ok(replica.applyRecords(offset, batch, now, ViewSource.Store));
  }
  t.ok(replica.sizeBytes <= sharedView.MAX_REPLICA_BYTES, `${replica.sizeBytes} bytes are kept`);
  t.ok(replica.snapshot().records.length < 70);
  t.equal(replica.endOffset, 101, "what follows is still read");
  const next = { records: [record("a", 101)], endOffset: 102, epoch: 0 };
  t.ok(replica.applyRecords(101, next, now, ViewSource.Store));
  t.equal(listener.values.get("a"), 101, "known records are still replaced");
  const freed = { records: [record("odd-1", 102, true)], endOffset: 103, epoch: 0 };
  const { sizeBytes } = replica;
  t.ok(replica.applyRecords(102, freed, now, ViewSource.Store));
  t.ok(replica.sizeBytes < sizeBytes - 262_000, "deleted records make room");
});

// Guards against a configuration that stays old, as entries of others have used up the replica's size.
tap.test("a larger record of a known key is kept beyond the largest size of a topic", async (t) => {
  const { clock, listener, replica } = setUp();
  const now = clockReadings.readClocks(clock);
  const first = { records: [record("a", 0)], endOffset: 1, epoch: 0 };
  replica.applyListing(first, now, ViewSource.Store);
  const others = { records: largeRecords(1, 100), endOffset: 101, epoch: 0 };
  t.ok(replica.applyRecords(1, others, now, ViewSource.Store));
  const keptCount = replica.snapshot().records.length;
  const turnedAway = others.records.slice(keptCount - 1).map(({ key }) => key);
  t.ok(turnedAway.length > 0);
  const larger = { key: "a", offset: 101, value: Buffer.alloc(262_144) };
  const next = { records: [larger], endOffset: 102, epoch: 0 };
  t.ok(replica.applyRecords(101, next, now, ViewSource.Store));
  t.equal(listener.values.get("a"), 101);
  t.ok(replica.snapshot().records.includes(larger), "peers get it too");
  const further = { records: largeRecords(102, 1), endOffset: 103, epoch: 0 };
  t.ok(replica.applyRecords(102, further, now, ViewSource.Store));
  t.equal(replica.snapshot().records.length, keptCount, "further keys are turned away");
  const told = [[turnedAway[0], turnedAway.length] as const, ["odd-102", 1] as const];
  t.same(listener.turnedAway, told, "the listener is told of each");
});

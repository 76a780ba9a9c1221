import tap from "tap";

import * as virtualClocks from "../../_lib/virtualClock/index.js";
import * as clockReadings from "../_lib/clockReading/index.js";
import * as sharedView from "../index.js";

const { ViewSource } = sharedView;

class Listener implements sharedView.ReplicaListener {
  readonly values = new Map<string, number>();
  /** First keys and numbers of the records that were turned away. */
  readonly turnedAway: [string, number][] = [];

  onRecords(records: readonly sharedView.ViewRecord[]): void {
    for (const { key, offset } of records) this.values.set(key, offset);
  }

  onListing(records: readonly sharedView.ViewRecord[]): void {
    this.values.clear();
    this.onRecords(records);
  }

  onTurnedAway({ first, recordsCount }: sharedView.LeftOutRecords): void {
    this.turnedAway.push([first.key, recordsCount]);
  }

  isEssential({ key }: sharedView.ViewRecord): boolean {
    return key === "config";
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

/** Records of keys of their own, with values of a record's largest size. */
function largeRecords(fromOffset: number, count: number): readonly sharedView.ViewRecord[] {
  const value = Buffer.alloc(262_144);
  return Array.from({ length: count }, (_, index) => {
    const offset = fromOffset + index;
    return { key: `odd-${offset}`, offset, value };
  });
}

// Guards against a VM that starts without a configuration, as others have filled the topic.
tap.test("a listing beyond the largest size is kept up to it", async (t) => {
  const { clock, listener, replica } = setUp();
  const now = clockReadings.readClocks(clock);
  const large = { key: "config", offset: 300, value: Buffer.alloc(262_144) };
  const records = [...largeRecords(0, 100), large];
  t.ok(replica.applyListing({ records, endOffset: 301, epoch: 0 }, now, ViewSource.Peer));
  t.equal(replica.endOffset, 301);
  t.equal(listener.values.get("config"), 300, "there is room for what a VM cannot serve without");
  t.ok(replica.sizeBytes <= sharedView.MAX_REPLICA_BYTES + 262_500, `${replica.sizeBytes} bytes`);
  const { size } = listener.values;
  t.same(listener.turnedAway, [[`odd-${size - 1}`, 101 - size]]);

  const next = { records: [{ ...large, offset: 301 }], endOffset: 302, epoch: 0 };
  t.ok(replica.applyRecords(301, next, now, ViewSource.Store));
  t.equal(listener.values.get("config"), 301, "single records are still followed");
  const others = largeRecords(400, 100);
  const known = { key: "odd-5", offset: 500, value: Buffer.alloc(262_144) };
  const relisted = { records: [...others, known, large], endOffset: 502, epoch: 0 };
  t.ok(replica.applyListing(relisted, now, ViewSource.Store));
  t.equal(listener.values.get("odd-5"), 500, "known keys are followed, wherever they are listed");
  t.equal(listener.values.get("config"), 301);
  t.same(listener.turnedAway.at(-1), ["odd-400", 100], "the others have made no room yet");
  const again = { ...relisted, endOffset: 503 };
  t.ok(replica.applyListing(again, now, ViewSource.Store));
  t.ok(listener.values.has("odd-400"), "deleted keys have");
  t.ok(replica.sizeBytes <= sharedView.MAX_REPLICA_BYTES + 262_500, `${replica.sizeBytes} bytes`);
});

tap.test("a restored listing beyond the largest size is kept up to it", async (t) => {
  const { clock, listener, replica } = setUp();
  const now = clockReadings.readClocks(clock);
  const first = { records: largeRecords(0, 100), endOffset: 100, epoch: 0 };
  replica.applyListing(first, now, ViewSource.Store);
  const restored = { records: largeRecords(20, 100), endOffset: 90, epoch: 1 };
  t.ok(replica.applyListing(restored, now, ViewSource.Store));
  t.ok(replica.sizeBytes <= sharedView.MAX_REPLICA_BYTES, `${replica.sizeBytes} bytes`);
  t.ok(listener.values.has("odd-20") && !listener.values.has("odd-5"));
});

tap.test("essential records have a room of their own, which is bounded too", async (t) => {
  const room = new sharedView.RecordRoom({ isEssential: () => true });
  const taken = largeRecords(0, 200).filter((record) => room.take(record));
  t.ok(sharedView.measureRecords(taken) <= sharedView.MAX_REPLICA_BYTES + 4 * 1024 * 1024);
  t.equal(room.leftOut?.recordsCount, 200 - taken.length);
});

tap.test("a further key that is named again counts with its last size", async (t) => {
  const room = new sharedView.RecordRoom();
  for (let index = 0; index < 1_000; index += 1) {
    const record = { key: "a", offset: index, value: Buffer.alloc(262_144 + index) };
    room.take(record);
  }
  t.equal(room.leftOut, null);
  const large = { key: "a", offset: 1_000, value: Buffer.alloc(sharedView.MAX_REPLICA_BYTES) };
  t.notOk(room.take(large));
});

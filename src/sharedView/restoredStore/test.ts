import tap from "tap";

import * as virtualClocks from "../../_lib/virtualClock/index.js";
import * as clockReadings from "../_lib/clockReading/index.js";
import * as sharedView from "../index.js";

const { ViewSource } = sharedView;

const REWRITE_MS = 2_000;

function createReplica(clock: virtualClocks.VirtualClock): sharedView.TopicReplica {
  const listener = { onRecords: () => undefined, onListing: () => undefined };
  return new sharedView.TopicReplica(clock, listener, REWRITE_MS);
}

function record(key: string, offset: number): sharedView.ViewRecord {
  return { key, offset, value: Buffer.from(String(offset)) };
}

// Guards against accepting a revoked API key: a store restored from an older copy lacks the version that revoked it.
tap.test(
  "after a restore, the store confirms nothing before its writers have written again",
  async (t) => {
    const clock = new virtualClocks.VirtualClock();
    const replica = createReplica(clock);
    const now = (): clockReadings.ClockReading => clockReadings.readClocks(clock);
    const listing = { records: [record("a", 8)], endOffset: 9, epoch: 0 };
    replica.applyListing(listing, now(), ViewSource.Store);
    await clock.runForMs(1_000);
    const copy = { records: [record("a", 3)], endOffset: 4, epoch: 1 };
    t.ok(replica.applyListing(copy, now(), ViewSource.Store));
    t.equal(replica.ageMs, 1_000, "the copy may lack what was confirmed since");
    await clock.runForMs(1_500);
    const rewritten = { records: [record("a", 4)], endOffset: 5, epoch: 1 };
    t.ok(replica.applyRecords(4, rewritten, now(), ViewSource.Store));
    t.equal(replica.ageMs, 2_500, "further records may follow");
    const peerConfirmedAt = clockReadings.subtractDuration(now(), 1_700);
    replica.confirm({ epoch: 1, endOffset: 5 }, peerConfirmedAt);
    t.equal(replica.ageMs, 1_700, "a peer knows until when its view was complete");
    await clock.runForMs(500);
    t.ok(replica.applyRecords(5, { ...rewritten, records: [] }, now(), ViewSource.Store));
    t.equal(replica.ageMs, 0);
  },
);

tap.test("a VM that starts cannot tell how long ago the store was restored", async (t) => {
  const clock = new virtualClocks.VirtualClock();
  const replica = createReplica(clock);
  const listing = { records: [record("a", 3)], endOffset: 4, epoch: 1 };
  replica.applyListing(listing, clockReadings.readClocks(clock), ViewSource.Store);
  t.equal(replica.ageMs, Infinity);
  await clock.runForMs(REWRITE_MS);
  const nothing = { records: [], endOffset: 4, epoch: 1 };
  replica.applyRecords(4, nothing, clockReadings.readClocks(clock), ViewSource.Store);
  t.equal(replica.ageMs, 0);
});

import * as neverthrow from "neverthrow";
import tap from "tap";

import * as virtualClocks from "../../_lib/virtualClock/index.js";
import * as diagnostics from "../../diagnostics/index.js";
import * as constants from "../constants.js";
import * as sharedView from "../index.js";

const { StoreFailure } = sharedView;

/** A store whose reads wait for the whole long poll and return no record. */
class QuietStore implements sharedView.ViewStore {
  readonly reads: { readonly offset: number; readonly atMs: number }[] = [];
  listingsCount = 0;
  failure: sharedView.StoreFailure | null = null;

  constructor(private readonly clock: virtualClocks.VirtualClock) {}

  readNewest(): ReturnType<sharedView.ViewStore["readNewest"]> {
    this.listingsCount += 1;
    if (this.failure === StoreFailure.Refused) {
      return Promise.resolve(neverthrow.err(StoreFailure.Refused));
    }
    return Promise.resolve(neverthrow.ok({ records: [], endOffset: 4, epoch: 0 }));
  }

  async readFrom(
    _topic: sharedView.Topic,
    offset: number,
    waitMs: number,
  ): ReturnType<sharedView.ViewStore["readFrom"]> {
    this.reads.push({ offset, atMs: this.clock.nowMs() });
    if (this.failure !== null) return neverthrow.err(this.failure);
    await this.clock.sleep(waitMs);
    return neverthrow.ok({ records: [], endOffset: offset, epoch: 0 });
  }
}

function setUp(
  rankOrRanks: number | { current: number },
  isPreferred = false,
): {
  readonly clock: virtualClocks.VirtualClock;
  readonly store: QuietStore;
  readonly replica: sharedView.TopicReplica;
  readonly reader: sharedView.TopicReader;
  readonly events: string[];
} {
  const clock = new virtualClocks.VirtualClock();
  const store = new QuietStore(clock);
  const events: string[] = [];
  const listener = { onRecords: () => undefined, onListing: () => undefined };
  const replica = new sharedView.TopicReplica(clock, listener);
  const reader = new sharedView.TopicReader(
    {
      clock,
      store,
      replica,
      log: { record: (_importance, event) => void events.push(event) },
      meters: new diagnostics.Meters(),
      rank: () => (typeof rankOrRanks === "number" ? rankOrRanks : rankOrRanks.current),
      isPreferred: () => isPreferred,
      onRead: () => undefined,
      onStoreRegained: () => events.push("regained"),
    },
    sharedView.CONFIGURATION_READER,
  );
  void reader.run();
  return { clock, store, replica, reader, events };
}

tap.test("the reader of rank 0 polls the store continuously", async (t) => {
  const { clock, store, replica } = setUp(0);
  await clock.runForMs(10_000);
  t.equal(store.listingsCount, 1);
  t.ok(store.reads.length >= 14 && store.reads.length <= 17, `${store.reads.length} calls in 10 s`);
  t.ok(replica.ageMs < 1_000);
});

tap.test("a reader of higher rank polls only when its view's age exceeds its limit", async (t) => {
  const { clock, store, replica } = setUp(3);
  const countReads = (): number => store.reads.length;
  await clock.runForMs(1_000);
  t.equal(countReads(), 0);
  await clock.runForMs(4_000);
  t.ok(countReads() >= 1);
  t.ok(replica.ageMs < 3_000);
});

tap.test("after the history is trimmed, the reader lists the newest records again", async (t) => {
  const { clock, store } = setUp(0);
  await clock.runForMs(1_000);
  store.failure = StoreFailure.Trimmed;
  await clock.runForMs(700);
  t.ok(store.listingsCount >= 2);
});

tap.test("calls to a failing store back off, and its recovery is reported once", async (t) => {
  const { clock, store, reader, events, replica } = setUp(0);
  await clock.runForMs(1_000);
  store.failure = StoreFailure.NoAnswer;
  const countBefore = store.reads.length;
  await clock.runForMs(10_000);
  const failedCount = store.reads.length - countBefore;
  t.ok(failedCount >= 8 && failedCount <= 16, `${failedCount} calls in 10 s of outage`);
  t.notOk(reader.reachesStore);
  t.ok(replica.ageMs > 9_000, "the age of an unconfirmed replica grows");
  store.failure = null;
  await clock.runForMs(2_500);
  t.ok(reader.reachesStore);
  const { ReaderRankChanged, StoreLost, StoreRegained } = diagnostics.LogEvent;
  t.same(events, [ReaderRankChanged, StoreLost, StoreRegained, "regained"]);
});

tap.test("a VM that becomes the first reader while it waits polls at once", async (t) => {
  const ranks = { current: constants.RANKED_READERS_COUNT };
  const { clock, store } = setUp(ranks);
  await clock.runForMs(2_000);
  t.equal(store.reads.length, 0);
  ranks.current = 0;
  await clock.runForMs(300);
  t.equal(store.reads.length, 1);
});

tap.test("a preferred reader that failed tries the store again, whatever its rank", async (t) => {
  const ranks = { current: 0 };
  const { clock, store, reader } = setUp(ranks, true);
  await clock.runForMs(1_000);
  store.failure = StoreFailure.Refused;
  await clock.runForMs(2_000);
  t.notOk(reader.reachesStore);
  ranks.current = constants.RANKED_READERS_COUNT;
  store.failure = null;
  await clock.runForMs(3_000);
  t.ok(reader.reachesStore);
});

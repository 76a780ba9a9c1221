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

  constructor(protected readonly clock: virtualClocks.VirtualClock) {}

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
    return neverthrow.ok({ records: [], endOffset: offset, topicEndOffset: offset, epoch: 0 });
  }
}

/** A store that returns a few records at a time of those that were written since the listing. */
class PagedStore extends QuietStore {
  topicEndOffset = 4;
  recordsPerRead = 2;

  override async readFrom(
    topic: sharedView.Topic,
    offset: number,
    waitMs: number,
  ): ReturnType<sharedView.ViewStore["readFrom"]> {
    if (offset >= this.topicEndOffset || this.failure !== null)
      return super.readFrom(topic, offset, waitMs);
    this.reads.push({ offset, atMs: this.clock.nowMs() });
    await this.clock.sleep(ANSWER_MS);
    const endOffset = Math.min(this.topicEndOffset, offset + this.recordsPerRead);
    const records = Array.from({ length: endOffset - offset }, (_, index) => {
      return { key: "config", offset: offset + index, value: Buffer.from("x") };
    });
    return neverthrow.ok({ records, endOffset, topicEndOffset: this.topicEndOffset, epoch: 0 });
  }
}

/** Time that the store takes to answer a read for which it has records. */
const ANSWER_MS = 5;

function setUp<Store extends QuietStore = QuietStore>(
  rankOrRanks: number | { current: number },
  isPreferred = false,
  createStore = (ofClock: virtualClocks.VirtualClock): Store => new QuietStore(ofClock) as Store,
): {
  readonly clock: virtualClocks.VirtualClock;
  readonly store: Store;
  readonly replica: sharedView.TopicReplica;
  readonly reader: sharedView.TopicReader;
  readonly events: string[];
} {
  const clock = new virtualClocks.VirtualClock();
  const store = createStore(clock);
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
      onListed: () => undefined,
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

// Guards against requests with a key that was taken away, which ran at a VM that had read only the first of the
// records that it missed, and took its view for current.
tap.test("a view is not confirmed before all records that the store has were read", async (t) => {
  const { clock, store, replica, events } = setUp(0, false, (ofClock) => new PagedStore(ofClock));
  await clock.runForMs(1_000);
  store.failure = StoreFailure.NoAnswer;
  await clock.runForMs(6_000);
  t.ok(replica.ageMs > 5_000);
  store.failure = null;
  store.topicEndOffset = 24;
  const agesWhileBehindMs: number[] = [];
  while (replica.endOffset < store.topicEndOffset && clock.nowMs() < 12_000) {
    await clock.runForMs(ANSWER_MS);
    if (replica.endOffset < store.topicEndOffset) agesWhileBehindMs.push(replica.ageMs);
  }
  t.ok(agesWhileBehindMs.length >= 9, `read in ${agesWhileBehindMs.length} answers`);
  t.ok(Math.min(...agesWhileBehindMs) > 5_000, "a part of the records confirms nothing");
  t.equal(replica.endOffset, 24);
  t.ok(replica.ageMs < 1_000, "the last of them confirm the view");
  const { ViewBehind, ViewCaughtUp } = diagnostics.LogEvent;
  const reported = new Set<string>([ViewBehind, ViewCaughtUp]);
  t.same(
    events.filter((event) => reported.has(event)),
    [ViewBehind, ViewCaughtUp],
  );
});

tap.test("a VM of any rank reads on at once while the store has more records", async (t) => {
  const { clock, store, replica } = setUp(3, false, (ofClock) => new PagedStore(ofClock));
  await clock.runForMs(200);
  store.topicEndOffset = 24;
  const untilRead = async (): Promise<number> => {
    while (store.reads.length === 0) await clock.runForMs(ANSWER_MS);
    return clock.nowMs();
  };
  const startedAtMs = await untilRead();
  while (replica.endOffset < 24) await clock.runForMs(ANSWER_MS);
  t.ok(clock.nowMs() - startedAtMs < 200, `${clock.nowMs() - startedAtMs} ms`);
});

tap.test(
  "a store that returns none of the records that it has is not asked without a pause",
  async (t) => {
    const { clock, store, replica } = setUp(0, false, (ofClock) => new PagedStore(ofClock));
    await clock.runForMs(100);
    store.topicEndOffset = 24;
    store.recordsPerRead = 0;
    await clock.runForMs(1_000);
    const countBefore = store.reads.length;
    const ageBeforeMs = replica.ageMs;
    await clock.runForMs(1_000);
    t.ok(
      store.reads.length - countBefore <= 20,
      `${store.reads.length - countBefore} reads in 1 s`,
    );
    t.equal(Math.round(replica.ageMs - ageBeforeMs), 1_000, "such an answer confirms nothing");
  },
);

import type * as neverthrow from "neverthrow";

import type * as clocks from "../../_lib/clock/index.js";
import * as diagnostics from "../../diagnostics/index.js";
import * as ageClocks from "../_lib/ageClock/index.js";
import * as constants from "../constants.js";
import * as topicReplicas from "../topicReplica/index.js";
import * as types from "../types.js";

const { Importance, LogEvent } = diagnostics;

/** How a topic is read. */
export interface ReaderOptions {
  readonly topic: types.Topic;
  /** Age at which the first reader reads again. */
  readonly pollMs: number;
  /** How long the store may wait for a record. */
  readonly waitMs: number;
}

/** How the configuration is read. */
export const CONFIGURATION_READER: ReaderOptions = {
  topic: types.Topic.Configuration,
  pollMs: constants.CONFIGURATION_POLL_MS,
  waitMs: constants.CONFIGURATION_WAIT_MS,
};

/** How the servers' entries are read. */
export const SERVERS_READER: ReaderOptions = {
  topic: types.Topic.Servers,
  pollMs: constants.SERVERS_POLL_MS,
  waitMs: constants.SERVERS_WAIT_MS,
};

/** What a reader works with. */
export interface ReaderContext {
  readonly clock: clocks.Clock;
  readonly store: types.ViewStore;
  readonly replica: topicReplicas.TopicReplica;
  readonly log: diagnostics.DecisionLog;
  readonly meters: diagnostics.Meters;
  /** Place of this VM among those that read the store for the others, from 0. */
  readonly rank: () => number;
  /** Called with records that were read, so that they can be passed on. */
  readonly onRead: (fromOffset: number, batch: types.RecordBatch) => void;
  /** Called when the store answers again after it did not. */
  readonly onRegained: () => void;
}

const MIN_SLEEP_MS = 10;

/**
 * Reads a topic whenever what is known of it has grown too old. VMs take turns by rank: while the
 * first reads and tells the others, nobody else has to; when it fails, the next one does.
 */
export class TopicReader implements Disposable {
  private readonly stopping = new AbortController();
  private failuresCount = 0;

  constructor(
    private readonly context: ReaderContext,
    private readonly options: ReaderOptions,
  ) {}

  /** Whether the last call to the store was answered. */
  get reachesStore(): boolean {
    return this.failuresCount === 0;
  }

  /** Reads until disposed. */
  async run(): Promise<void> {
    while (!this.stopping.signal.aborted) {
      const dueInMs = this.dueInMs();
      if (dueInMs > 0) {
        await this.sleep(dueInMs);
        continue;
      }
      const isRead = await this.readOnce();
      if (!isRead) await this.sleep(this.backoffMs());
    }
  }

  [Symbol.dispose](): void {
    this.stopping.abort();
  }

  private dueInMs(): number {
    const { replica } = this.context;
    if (!replica.isKnown) return 0;
    return this.options.pollMs + this.rankDelayMs() - replica.ageMs;
  }

  /** What a VM leaves to those before it: their wait, the way of their word, and a pause each. */
  private rankDelayMs(): number {
    const rank = this.context.rank();
    if (rank === 0) return 0;
    if (rank >= constants.READER_TURNS_COUNT) return constants.LAST_TURN_MS;
    const turnMs = rank * constants.READER_RANK_DELAY_MS;
    return this.options.waitMs + constants.PEER_WORD_LAG_MS + turnMs;
  }

  private async readOnce(): Promise<boolean> {
    const { replica, store, clock } = this.context;
    const sentAt = ageClocks.nowOf(clock);
    const { topic, waitMs } = this.options;
    if (!replica.isKnown) return this.takeListing(await store.readNewest(topic), sentAt);
    const fromOffset = replica.endOffset;
    const result = await store.readFrom(topic, fromOffset, waitMs);
    if (result.isErr() && result.error === types.StoreFailure.Trimmed) {
      return this.takeListing(await store.readNewest(topic), sentAt);
    }
    return this.takeRecords(result, sentAt, fromOffset);
  }

  private takeListing(
    result: neverthrow.Result<types.RecordBatch, types.StoreFailure>,
    sentAt: ageClocks.Moment,
  ): boolean {
    if (result.isErr()) return this.noteFailure(result.error);
    this.noteSuccess();
    const source = topicReplicas.ViewSource.Store;
    this.context.replica.applyListing(result.value, sentAt, source);
    this.context.onRead(0, result.value);
    return true;
  }

  private takeRecords(
    result: neverthrow.Result<types.RecordBatch, types.StoreFailure>,
    sentAt: ageClocks.Moment,
    fromOffset: number,
  ): boolean {
    if (result.isErr()) return this.noteFailure(result.error);
    this.noteSuccess();
    const batch = result.value;
    const confirmedAt = batch.records.length > 0 ? sentAt : this.afterWait(sentAt);
    const source = topicReplicas.ViewSource.Store;
    this.context.replica.applyRecords(fromOffset, batch, confirmedAt, source);
    this.context.onRead(fromOffset, batch);
    return true;
  }

  /** An empty answer after the whole wait tells of the end of that wait. */
  private afterWait(sentAt: ageClocks.Moment): ageClocks.Moment {
    const elapsedMs = this.context.clock.nowMs() - sentAt.steadyMs;
    const waitedMs = elapsedMs >= this.options.waitMs ? this.options.waitMs : 0;
    return ageClocks.before(sentAt, -waitedMs);
  }

  private noteSuccess(): void {
    this.context.meters.storeCalls.inc({ call: this.options.topic, outcome: "answered" });
    if (this.failuresCount === 0) return;
    this.context.log.record(Importance.Belief, LogEvent.StoreRegained, {
      topic: this.options.topic,
      failuresCount: this.failuresCount,
    });
    this.failuresCount = 0;
    this.context.onRegained();
  }

  private noteFailure(failure: types.StoreFailure): false {
    this.context.meters.storeCalls.inc({ call: this.options.topic, outcome: failure });
    this.failuresCount += 1;
    if (this.failuresCount === 1) {
      this.context.log.record(Importance.Belief, LogEvent.StoreLost, {
        topic: this.options.topic,
        failure,
        viewAgeMs: Math.round(this.context.replica.ageMs),
      });
    }
    return false;
  }

  private backoffMs(): number {
    const doubledMs = constants.MIN_STORE_BACKOFF_MS * 2 ** Math.min(this.failuresCount - 1, 10);
    return Math.min(constants.MAX_STORE_BACKOFF_MS, doubledMs);
  }

  private async sleep(durationMs: number): Promise<void> {
    const { signal } = this.stopping;
    // Rejects only when the reader is disposed, which the loop then sees.
    await this.context.clock.sleep(Math.max(MIN_SLEEP_MS, durationMs), signal).catch(() => null);
  }
}

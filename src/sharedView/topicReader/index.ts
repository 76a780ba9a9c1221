import type * as neverthrow from "neverthrow";

import type * as clocks from "../../_lib/clock/index.js";
import * as diagnostics from "../../diagnostics/index.js";
import * as clockReadings from "../_lib/clockReading/index.js";
import * as constants from "../constants.js";
import type * as recordRooms from "../recordRoom/index.js";
import * as topicReplicas from "../topicReplica/index.js";
import * as types from "../types.js";

const { Importance, LogEvent } = diagnostics;

/** How a topic is polled. */
export interface ReaderOptions {
  readonly topic: types.Topic;
  /** Age of the replica at which the reader of rank 0 polls the store again. */
  readonly pollAgeMs: number;
  /** Longest time for which the store waits for a record. */
  readonly waitMs: number;
}

/** Options for reading the configuration. */
export const CONFIGURATION_READER: ReaderOptions = {
  topic: types.Topic.Configuration,
  pollAgeMs: constants.CONFIGURATION_POLL_AGE_MS,
  waitMs: constants.CONFIGURATION_LONG_POLL_MS,
};

/** Options for reading the servers' entries. */
export const SERVERS_READER: ReaderOptions = {
  topic: types.Topic.Servers,
  pollAgeMs: constants.SERVERS_POLL_AGE_MS,
  waitMs: constants.SERVERS_LONG_POLL_MS,
};

/** Dependencies of a topic reader. */
export interface ReaderContext {
  readonly clock: clocks.Clock;
  readonly store: types.ViewStore;
  readonly replica: topicReplicas.TopicReplica;
  readonly log: diagnostics.DecisionLog;
  readonly meters: diagnostics.Meters;
  /** Returns the rank of this VM among those that read the store for the others, from 0. */
  readonly rank: () => number;
  /** Returns whether this VM is one of the preferred readers, whichever VMs reach the store now. */
  readonly isPreferred: () => boolean;
  /** Called with records read from the store, so that they can be sent to the peers. */
  readonly onRead: (fromOffset: number, batch: types.RecordBatch) => void;
  /** Called after the replica was replaced by a complete listing from the store. */
  readonly onListed: () => void;
  /** Called on the first answer of the store after one or more failures. */
  readonly onStoreRegained: () => void;
}

/** Shortest pause between two checks of whether the next poll is due. */
const MIN_SLEEP_MS = 10;

/** Longest pause between two checks: a VM's rank, and so the time of its next poll, can change at any moment. */
const MAX_SLEEP_MS = 200;

/**
 * Polls the store for a topic whenever the replica's age exceeds a limit. The limit grows with the
 * VM's rank: while the reader of rank 0 reads and sends the others what it read, they need not
 * read; if it fails, the next one does.
 */
export class TopicReader implements Disposable {
  private readonly stopping = new AbortController();
  private failuresCount = 0;
  /** Epoch of the store's last answer; null before the first one. */
  private lastEpoch: number | null = null;
  /** Whether the last records read do not continue the replica, so that the topic has to be listed. */
  private isListingDue = false;
  /** Whether the store has further records than it last returned. */
  private hasMoreRecords = false;
  /** Rank at the last read; null before the first one. */
  private lastReadRank: number | null = null;

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
      const timeToNextReadMs = this.computeTimeToNextReadMs();
      if (timeToNextReadMs > 0) {
        await this.sleep(Math.min(timeToNextReadMs, MAX_SLEEP_MS));
        continue;
      }
      const isRead = await this.readOnce().catch((error: unknown) => this.recordError(error));
      if (!isRead) await this.sleep(this.computeBackoffMs());
    }
  }

  [Symbol.dispose](): void {
    this.stopping.abort();
  }

  private recordError(error: unknown): false {
    const { topic } = this.options;
    diagnostics.recordInternalError(this.context, diagnostics.ErrorOrigin.Task, error, { topic });
    return false;
  }

  /** Time until the replica's age reaches its limit; not positive if a poll is due. */
  private computeTimeToNextReadMs(): number {
    const { replica, isPreferred } = this.context;
    if (!replica.isKnown || this.isListingDue || this.hasMoreRecords) return 0;
    // Only a successful call ends the belief that the store is unreachable.
    if (!this.reachesStore && isPreferred()) return 0;
    return this.options.pollAgeMs + this.computeRankDelayMs() - replica.ageMs;
  }

  /**
   * Time that a VM grants to the readers of lower rank: their long poll, the lag of their reports,
   * and a delay for each rank.
   */
  private computeRankDelayMs(): number {
    const rank = this.context.rank();
    if (rank === 0) return 0;
    if (rank >= constants.RANKED_READERS_COUNT) return constants.FALLBACK_READ_AGE_MS;
    const rankMs = rank * constants.READER_RANK_DELAY_MS;
    return this.options.waitMs + constants.PEER_REPORT_LAG_MS + rankMs;
  }

  /**
   * Reads the next records, or the whole topic if none is known or the next are not available.
   *
   * @returns whether the store answered with something that the replica could use
   */
  private async readOnce(): Promise<boolean> {
    const { replica, store, clock } = this.context;
    this.recordRank();
    const sentAt = clockReadings.readClocks(clock);
    const { topic, waitMs } = this.options;
    const createRoom = (): recordRooms.RecordRoom => replica.createRoom();
    if (!replica.isKnown || this.isListingDue) {
      return this.applyListingResult(await store.readNewest(topic, createRoom), sentAt);
    }
    const fromOffset = replica.endOffset;
    const result = await store.readFrom(topic, fromOffset, waitMs);
    if (result.isErr() && result.error === types.StoreFailure.Trimmed) {
      return this.applyListingResult(await store.readNewest(topic, createRoom), sentAt);
    }
    return this.applyRecordsResult(result, sentAt, fromOffset);
  }

  private applyListingResult(
    result: neverthrow.Result<types.RecordBatch, types.StoreFailure>,
    sentAt: clockReadings.ClockReading,
  ): boolean {
    if (result.isErr()) return this.recordFailure(result.error);
    this.recordSuccess();
    const source = topicReplicas.ViewSource.Store;
    this.recordEpoch(result.value);
    this.hasMoreRecords = false;
    const isApplied = this.context.replica.applyListing(result.value, sentAt, source);
    this.isListingDue = false;
    if (isApplied) this.context.onListed();
    else this.recordIgnoredListing(result.value);
    return isApplied;
  }

  private applyRecordsResult(
    result: neverthrow.Result<types.ReadBatch, types.StoreFailure>,
    sentAt: clockReadings.ClockReading,
    fromOffset: number,
  ): boolean {
    if (result.isErr()) return this.recordFailure(result.error);
    this.recordSuccess();
    const batch = result.value;
    this.recordEpoch(batch);
    const confirmedAt =
      batch.records.length > 0 ? sentAt : this.computeEmptyAnswerConfirmationTime(sentAt);
    const source = topicReplicas.ViewSource.Store;
    const isApplied = this.context.replica.applyRecords(fromOffset, batch, confirmedAt, source);
    this.isListingDue = !isApplied;
    if (isApplied) this.context.onRead(fromOffset, batch);
    const isPartial = batch.endOffset < batch.topicEndOffset;
    this.recordPartialRead(batch, isPartial);
    return !isPartial || batch.endOffset > fromOffset;
  }

  /** Logs when the store begins to return only some of the records, and when the view has caught up with it. */
  private recordPartialRead(batch: types.ReadBatch, isPartial: boolean): void {
    if (this.hasMoreRecords === isPartial) return;
    this.hasMoreRecords = isPartial;
    this.context.log.record(
      Importance.StateChange,
      isPartial ? LogEvent.ViewBehind : LogEvent.ViewCaughtUp,
      {
        topic: this.options.topic,
        endOffset: batch.endOffset,
        topicEndOffset: batch.topicEndOffset,
        viewAgeMs: Math.round(Math.min(1e9, this.context.replica.ageMs)),
      },
    );
  }

  /**
   * The time at which an empty answer confirms the topic's end. If the whole long poll elapsed, the
   * answer reflects the topic at least that long after the request was sent.
   */
  private computeEmptyAnswerConfirmationTime(
    sentAt: clockReadings.ClockReading,
  ): clockReadings.ClockReading {
    const elapsedMs = this.context.clock.nowMs() - sentAt.steadyMs;
    const waitedMs = elapsedMs >= this.options.waitMs ? this.options.waitMs : 0;
    return clockReadings.subtractDuration(sentAt, -waitedMs);
  }

  /** Logs that this VM reads under another rank than the last time. */
  private recordRank(): void {
    const rank = this.context.rank();
    const formerRank = this.lastReadRank;
    this.lastReadRank = rank;
    if (formerRank === rank) return;
    this.context.log.record(Importance.StateChange, LogEvent.ReaderRankChanged, {
      topic: this.options.topic,
      rank,
      formerRank,
      viewAgeMs: Math.round(Math.min(1e9, this.context.replica.ageMs)),
    });
  }

  /** Logs that the store was restored from a copy since its last answer to this reader. */
  private recordEpoch({ epoch, endOffset }: types.RecordBatch): void {
    const formerEpoch = this.lastEpoch;
    this.lastEpoch = epoch;
    if (formerEpoch === null || formerEpoch === epoch) return;
    this.context.log.record(Importance.StateChange, LogEvent.StoreRestored, {
      topic: this.options.topic,
      epoch,
      formerEpoch,
      endOffset,
      knownEndOffset: this.context.replica.endOffset,
    });
  }

  private recordIgnoredListing({ epoch, endOffset }: types.RecordBatch): void {
    this.context.log.record(Importance.Notable, LogEvent.ListingIgnored, {
      topic: this.options.topic,
      source: topicReplicas.ViewSource.Store,
      epoch,
      endOffset,
      knownEndOffset: this.context.replica.endOffset,
    });
  }

  private recordSuccess(): void {
    this.context.meters.storeCalls.inc({ call: this.options.topic, outcome: "answered" });
    if (this.failuresCount === 0) return;
    this.context.log.record(Importance.StateChange, LogEvent.StoreRegained, {
      topic: this.options.topic,
      failuresCount: this.failuresCount,
    });
    this.failuresCount = 0;
    this.context.onStoreRegained();
  }

  private recordFailure(failure: types.StoreFailure): false {
    this.context.meters.storeCalls.inc({ call: this.options.topic, outcome: failure });
    // Without the store, a VM catches up with its peers at the pace of its rank.
    this.hasMoreRecords = false;
    this.failuresCount += 1;
    if (this.failuresCount === 1) {
      this.context.log.record(Importance.StateChange, LogEvent.StoreLost, {
        topic: this.options.topic,
        failure,
        viewAgeMs: Math.round(this.context.replica.ageMs),
      });
    }
    return false;
  }

  private computeBackoffMs(): number {
    const doubledMs = constants.MIN_STORE_BACKOFF_MS * 2 ** Math.min(this.failuresCount - 1, 10);
    return Math.min(constants.MAX_STORE_BACKOFF_MS, doubledMs);
  }

  private async sleep(durationMs: number): Promise<void> {
    const { signal } = this.stopping;
    // Rejects only when the reader is disposed, which ends the loop in `run`.
    await this.context.clock.sleep(Math.max(MIN_SLEEP_MS, durationMs), signal).catch(() => null);
  }
}

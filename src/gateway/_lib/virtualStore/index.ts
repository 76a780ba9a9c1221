import * as neverthrow from "neverthrow";

import type * as virtualClocks from "../../../_lib/virtualClock/index.js";
import * as sharedView from "../../../sharedView/index.js";

const { StoreFailure } = sharedView;

/** Time from a request to its execution, and from there to its answer. */
const LINK_DELAY_MS = 2;

/** Time after which a call to a store that does not answer fails. */
const ANSWER_TIMEOUT_MS = 1_200;

/** Interval at which a waiting read checks for a record. */
const WAIT_CHECK_INTERVAL_MS = 10;

/** Most records of one answer to a read. */
const MAX_READ_RECORDS_COUNT = 40;

type TopicLog = readonly sharedView.ViewRecord[];

/** Contents of the store at one moment. */
export type StoreCopy = ReadonlyMap<sharedView.Topic, TopicLog>;

/** A model of the platform's store on the virtual clock, which can be restored from a copy. */
export class VirtualStore {
  private topics = new Map<sharedView.Topic, TopicLog>();
  /** Lowest retained offsets; 0 where nothing was deleted. */
  private readonly firstOffsets = new Map<sharedView.Topic, number>();
  private epoch = 0;
  /** Whether calls are answered; calls made meanwhile time out. */
  isUp = true;

  constructor(private readonly clock: virtualClocks.VirtualClock) {}

  /** Appends a record; a null value deletes the key. */
  append(topic: sharedView.Topic, key: string, value: string | null): void {
    const log = this.logOf(topic);
    const record = {
      key,
      offset: log.length,
      value: value === null ? null : Buffer.from(value),
    };
    this.topics.set(topic, [...log, record]);
  }

  /** Deletes all records of a topic; the newest one of each key is still listed. */
  trim(topic: sharedView.Topic): void {
    this.firstOffsets.set(topic, this.logOf(topic).length);
  }

  /** Copies the contents. */
  copy(): StoreCopy {
    return new Map(this.topics);
  }

  /** Replaces the contents by a copy and starts the next epoch. */
  restore(copy: StoreCopy): void {
    this.topics = new Map(copy);
    this.firstOffsets.clear();
    this.epoch += 1;
  }

  /** The store as one VM reaches it. */
  connect(isReachable: () => boolean): sharedView.ViewStore {
    const whenAnswered = async <T>(
      execute: () => Promise<neverthrow.Result<T, sharedView.StoreFailure>>,
    ): Promise<neverthrow.Result<T, sharedView.StoreFailure>> => {
      await this.clock.sleep(LINK_DELAY_MS);
      if (!this.isUp || !isReachable()) return this.timeOut();
      const result = await execute();
      await this.clock.sleep(LINK_DELAY_MS);
      return isReachable() ? result : this.timeOut();
    };
    return {
      readNewest: (topic) => whenAnswered(() => Promise.resolve(this.readNewest(topic))),
      readFrom: (topic, offset, waitMs) => whenAnswered(() => this.readFrom(topic, offset, waitMs)),
    };
  }

  private readNewest(
    topic: sharedView.Topic,
  ): neverthrow.Result<sharedView.RecordBatch, sharedView.StoreFailure> {
    const log = this.logOf(topic);
    const newest = new Map(log.map((record) => [record.key, record]));
    const records = [...newest.values()].filter(({ value }) => value !== null);
    return neverthrow.ok({ epoch: this.epoch, endOffset: log.length, records });
  }

  /** A waiting read continues over a restore, at an offset that may no longer exist. */
  private async readFrom(
    topic: sharedView.Topic,
    offset: number,
    waitMs: number,
  ): Promise<neverthrow.Result<sharedView.ReadBatch, sharedView.StoreFailure>> {
    const endsAtMs = this.clock.nowMs() + waitMs;
    for (;;) {
      const log = this.logOf(topic);
      const firstOffset = this.firstOffsets.get(topic) ?? 0;
      if (offset < firstOffset || offset > log.length) return neverthrow.err(StoreFailure.Trimmed);
      const isDone = offset < log.length || this.clock.nowMs() >= endsAtMs;
      if (isDone) {
        const records = log.slice(offset, offset + MAX_READ_RECORDS_COUNT);
        const endOffset = offset + records.length;
        const topicEndOffset = log.length;
        return neverthrow.ok({ epoch: this.epoch, endOffset, topicEndOffset, records });
      }
      await this.clock.sleep(WAIT_CHECK_INTERVAL_MS);
    }
  }

  private async timeOut<T>(): Promise<neverthrow.Result<T, sharedView.StoreFailure>> {
    await this.clock.sleep(ANSWER_TIMEOUT_MS);
    return neverthrow.err(StoreFailure.NoAnswer);
  }

  private logOf(topic: sharedView.Topic): TopicLog {
    return this.topics.get(topic) ?? [];
  }
}

import type * as clocks from "../../_lib/clock/index.js";
import * as clockReadings from "../_lib/clockReading/index.js";
import type * as types from "../types.js";

/** Where records of a replica came from. */
export enum ViewSource {
  Store = "store",
  Peer = "peer",
}

/** Receives the records that are new to a replica. */
export interface ReplicaListener {
  /** Called with records that follow those already known. */
  onRecords(records: readonly types.ViewRecord[], origin: RecordOrigin): void;
  /** Called with a whole topic that replaces the known records; keys that it lacks are deleted. */
  onListing(records: readonly types.ViewRecord[], origin: RecordOrigin): void;
}

/** The source of records, and the age of the view to which they were applied. */
export interface RecordOrigin {
  readonly source: ViewSource;
  /** Age of the view before the records were applied; Infinity if nothing was known. */
  readonly viewAgeMs: number;
}

/**
 * This VM's local copy of a topic, read from the store or received from peers, with the time at
 * which the store last confirmed it. A record is never replaced by an older one.
 */
export class TopicReplica {
  private records = new Map<string, types.ViewRecord>();
  private knownEndOffset = -1;
  private confirmedAt = clockReadings.DISTANT_PAST;

  constructor(
    private readonly clock: clocks.Clock,
    private readonly listener: ReplicaListener,
  ) {}

  /** The offset after the last known record; -1 before anything is known. */
  get endOffset(): number {
    return this.knownEndOffset;
  }

  /** Whether a listing of the topic has been applied. */
  get isKnown(): boolean {
    return this.knownEndOffset >= 0;
  }

  /** Time since the store confirmed the replica, in milliseconds; Infinity if it never did. */
  get ageMs(): number {
    return clockReadings.ageMs(this.confirmedAt, this.clock);
  }

  /**
   * Applies a whole topic.
   *
   * @returns false if the listing ends before the known records, in which case nothing changes
   */
  applyListing(
    batch: types.RecordBatch,
    confirmedAt: clockReadings.ClockReading,
    source: ViewSource,
  ): boolean {
    if (batch.endOffset < this.knownEndOffset) return false;
    const origin = { source, viewAgeMs: this.ageMs };
    const merged = new Map<string, types.ViewRecord>();
    for (const record of batch.records) {
      if (record.value !== null)
        merged.set(record.key, selectNewer(this.records.get(record.key), record));
    }
    this.records = merged;
    this.knownEndOffset = batch.endOffset;
    this.confirm(batch.endOffset, confirmedAt);
    this.listener.onListing([...merged.values()], origin);
    return true;
  }

  /**
   * Applies the records from an offset on.
   *
   * @returns false if records before that offset are missing here, in which case nothing changes
   */
  applyRecords(
    fromOffset: number,
    batch: types.RecordBatch,
    confirmedAt: clockReadings.ClockReading,
    source: ViewSource,
  ): boolean {
    if (!this.isKnown || fromOffset > this.knownEndOffset) return false;
    const origin = { source, viewAgeMs: this.ageMs };
    const fresh = batch.records.filter(({ offset }) => offset >= this.knownEndOffset);
    for (const record of fresh) {
      if (record.value === null) this.records.delete(record.key);
      else this.records.set(record.key, record);
    }
    this.knownEndOffset = Math.max(this.knownEndOffset, batch.endOffset);
    this.confirm(batch.endOffset, confirmedAt);
    if (fresh.length > 0) this.listener.onRecords(fresh, origin);
    return true;
  }

  /**
   * Renews the replica's age: the topic ended at an offset when the given clocks were read, as
   * reported by the store or a peer. Ignored if the replica lacks records before that offset, or
   * if a later confirmation is known.
   */
  confirm(endOffset: number, confirmedAt: clockReadings.ClockReading): void {
    if (endOffset > this.knownEndOffset || !this.isKnown) return;
    if (confirmedAt.steadyMs > this.confirmedAt.steadyMs) this.confirmedAt = confirmedAt;
  }

  /** All known records, to be sent to a peer. */
  snapshot(): types.RecordBatch {
    return { records: [...this.records.values()], endOffset: this.knownEndOffset, epoch: 0 };
  }
}

function selectNewer(
  known: types.ViewRecord | undefined,
  record: types.ViewRecord,
): types.ViewRecord {
  return known !== undefined && known.offset > record.offset ? known : record;
}

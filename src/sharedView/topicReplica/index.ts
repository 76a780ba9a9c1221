import type * as clocks from "../../_lib/clock/index.js";
import * as clockReadings from "../_lib/clockReading/index.js";
import * as comparePositions from "../_lib/comparePositions/index.js";
import * as recordRooms from "../recordRoom/index.js";
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
  /** Called with records of further keys that are not kept, as the topic has its largest size. */
  onTurnedAway?(leftOut: types.LeftOutRecords): void;
  /** Whether a record of a further key has room when the topic has its largest size; by default none has. */
  isEssential?(record: types.ViewRecord): boolean;
}

/** The source of records, and the age of the view to which they were applied. */
export interface RecordOrigin {
  readonly source: ViewSource;
  /** Age of the view before the records were applied; Infinity if nothing was known. */
  readonly viewAgeMs: number;
  /** Whether the store has been restored since the records known before. */
  readonly isRestored: boolean;
}

/** The position of a replica that knows nothing. */
const UNKNOWN_POSITION: types.LogPosition = { epoch: 0, endOffset: -1 };

interface RetainedRecord {
  readonly record: types.ViewRecord;
  readonly revision: number;
}

/**
 * This VM's local copy of a topic, read from the store or received from peers, with the time at
 * which the store last confirmed it. Within an epoch a record is never replaced by an older one; a
 * listing of a later epoch replaces all records.
 */
export class TopicReplica {
  private records = new Map<string, types.ViewRecord>();
  private position = UNKNOWN_POSITION;
  private retained: RetainedRecord | null = null;
  private keptBytes = 0;
  private confirmedAt = clockReadings.DISTANT_PAST;
  /** Time on the monotonic clock from which the store's answers are complete again after a restore. */
  private completeSinceMs = -Infinity;

  /**
   * @param rewriteMs - time after a restore of the store within which its writers write again what it has lost;
   *   until then its answers do not renew the replica's age
   */
  constructor(
    private readonly clock: clocks.Clock,
    private readonly listener: ReplicaListener,
    private readonly rewriteMs = 0,
  ) {}

  /** The offset after the last known record; -1 before anything is known. */
  get endOffset(): number {
    return this.position.endOffset;
  }

  /** Position and revision, which peers compare with their own. */
  get state(): types.ReplicaState {
    return { ...this.position, revision: this.retained?.revision ?? 0 };
  }

  /** Whether a listing of the topic has been applied. */
  get isKnown(): boolean {
    return this.position.endOffset >= 0;
  }

  /** Size of the known records, in bytes. */
  get sizeBytes(): number {
    return this.keptBytes;
  }

  /** Time since the store confirmed the replica, in milliseconds; Infinity if it never did. */
  get ageMs(): number {
    return clockReadings.ageMs(this.confirmedAt, this.clock);
  }

  /** Whether another replica is ahead of this one. */
  isBehind(other: types.ReplicaState): boolean {
    const { state } = this;
    return comparePositions.comparePositions(other, state) > 0 || other.revision > state.revision;
  }

  /**
   * Applies a whole topic, except those records of further keys that are too large to be kept with the others.
   *
   * @returns false if the listing ends before the known records, in which case nothing changes
   */
  applyListing(
    batch: types.RecordBatch,
    confirmedAt: clockReadings.ClockReading,
    source: ViewSource,
  ): boolean {
    if (comparePositions.comparePositions(batch, this.position) < 0) return false;
    const isRestored = this.isKnown && batch.epoch > this.position.epoch;
    // Before the first listing the epoch is 0: a VM that starts cannot tell how long ago a restore was.
    if (batch.epoch > this.position.epoch)
      this.completeSinceMs = this.clock.nowMs() + this.rewriteMs;
    const origin = { source, viewAgeMs: this.ageMs, isRestored };
    const known = isRestored ? new Map<string, types.ViewRecord>() : this.records;
    const room = this.createRoom(known);
    const merged = new Map<string, types.ViewRecord>();
    for (const record of batch.records) {
      if (record.value !== null && room.take(record))
        merged.set(record.key, selectNewer(known.get(record.key), record));
    }
    this.keptBytes = recordRooms.measureRecords([...merged.values()]);
    this.records = merged;
    this.position = { epoch: batch.epoch, endOffset: batch.endOffset };
    this.confirmFrom(source, batch, confirmedAt);
    this.listener.onListing([...merged.values()], origin);
    this.reportLeftOut([batch.leftOut, room.leftOut]);
    return true;
  }

  /**
   * Applies the records from an offset on, except those of further keys that are too large to be kept with the others.
   * They confirm the replica only if the topic ended with them.
   *
   * @returns false if records before that offset are missing here or belong to another epoch, in
   *   which case nothing changes
   */
  applyRecords(
    fromOffset: number,
    batch: types.RecordBatch & Partial<Pick<types.ReadBatch, "topicEndOffset">>,
    confirmedAt: clockReadings.ClockReading,
    source: ViewSource,
  ): boolean {
    const { epoch, endOffset } = this.position;
    if (!this.isKnown || batch.epoch !== epoch || fromOffset > endOffset) return false;
    const origin = { source, viewAgeMs: this.ageMs, isRestored: false };
    const following = batch.records.filter((record) => record.offset >= endOffset);
    const room = this.createRoom();
    const fresh = following.filter((record) => this.keep(record, room));
    this.position = { epoch, endOffset: Math.max(endOffset, batch.endOffset) };
    const topicEnd = { epoch, endOffset: batch.topicEndOffset ?? batch.endOffset };
    this.confirmFrom(source, topicEnd, confirmedAt);
    if (fresh.length > 0) this.listener.onRecords(fresh, origin);
    this.reportLeftOut([room.leftOut]);
    return true;
  }

  /**
   * Keeps a record for the peers, also if the store loses it, until one of a higher revision is
   * retained.
   *
   * @param revision - positive; orders the record's versions whatever their epochs and offsets are
   */
  retain(record: types.ViewRecord, revision: number): void {
    if (revision > (this.retained?.revision ?? 0)) this.retained = { record, revision };
  }

  /** Passes on a record that a peer has retained; the listener decides whether it is newer. */
  applyRetained(record: types.ViewRecord): void {
    const origin = { source: ViewSource.Peer, viewAgeMs: this.ageMs, isRestored: false };
    this.listener.onRecords([record], origin);
  }

  /**
   * Renews the replica's age: the topic ended at a position when the given clocks were read, as
   * reported by a peer, whose age counts from an answer that was complete. Ignored if the position is of another epoch or beyond the
   * known records, or if a later confirmation is known.
   */
  confirm(position: types.LogPosition, confirmedAt: clockReadings.ClockReading): void {
    const { epoch, endOffset } = this.position;
    if (!this.isKnown || position.epoch !== epoch || position.endOffset > endOffset) return;
    if (confirmedAt.steadyMs > this.confirmedAt.steadyMs) this.confirmedAt = confirmedAt;
  }

  private confirmFrom(
    source: ViewSource,
    position: types.LogPosition,
    confirmedAt: clockReadings.ClockReading,
  ): void {
    const isComplete = source === ViewSource.Peer || confirmedAt.steadyMs >= this.completeSinceMs;
    if (isComplete) this.confirm(position, confirmedAt);
  }

  /**
   * Decides which further records may be kept. A known key is always updated, so that entries of others keep no
   * configuration from being followed.
   */
  createRoom(known: ReadonlyMap<string, types.ViewRecord> = this.records): recordRooms.RecordRoom {
    return new recordRooms.RecordRoom({
      known,
      knownBytes: known === this.records ? this.keptBytes : 0,
      isEssential: (record) => this.listener.isEssential?.(record) === true,
    });
  }

  /** Keeps the newest record of a key, or drops a deleted one; returns false if there is no room for it. */
  private keep(record: types.ViewRecord, room: recordRooms.RecordRoom): boolean {
    if (!room.take(record)) return false;
    const known = this.records.get(record.key);
    if (known !== undefined) this.keptBytes -= recordRooms.measureRecords([known]);
    if (record.value === null) this.records.delete(record.key);
    else {
      this.keptBytes += recordRooms.measureRecords([record]);
      this.records.set(record.key, record);
    }
    return true;
  }

  private reportLeftOut(parts: readonly (types.LeftOutRecords | null | undefined)[]): void {
    const leftOut = parts.filter((part) => part !== null && part !== undefined);
    const [earliest] = leftOut;
    if (earliest === undefined) return;
    const recordsCount = leftOut.reduce((sum, part) => sum + part.recordsCount, 0);
    this.listener.onTurnedAway?.({ first: earliest.first, recordsCount });
  }

  /** All known records, to be sent to a peer. */
  snapshot(): types.ReplicaSnapshot {
    const records = [...this.records.values()];
    return { ...this.position, records, retained: this.retained?.record ?? null };
  }
}

function selectNewer(
  known: types.ViewRecord | undefined,
  record: types.ViewRecord,
): types.ViewRecord {
  return known !== undefined && known.offset > record.offset ? known : record;
}

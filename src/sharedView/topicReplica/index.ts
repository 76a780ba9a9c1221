import type * as clocks from "../../_lib/clock/index.js";
import * as ageClocks from "../_lib/ageClock/index.js";
import type * as types from "../types.js";

/** Where a replica's records came from. */
export enum ViewSource {
  Store = "store",
  Peer = "peer",
}

/** Hears of records that are new to a replica. */
export interface ReplicaListener {
  onRecords(records: readonly types.ViewRecord[], origin: RecordOrigin): void;
  /** A whole topic replaced what was known; keys that it lacks are gone. */
  onListing(records: readonly types.ViewRecord[], origin: RecordOrigin): void;
}

/** Where records came from, and into how old a view. */
export interface RecordOrigin {
  readonly source: ViewSource;
  /** Age of the view before them; Infinity where nothing was known. */
  readonly viewAgeMs: number;
}

/**
 * A topic of the store as this VM knows it, first hand or through peers, with the time at which
 * the store last confirmed it. Records never give way to older ones.
 */
export class TopicReplica {
  private records = new Map<string, types.ViewRecord>();
  private end = -1;
  private confirmedAt = ageClocks.NEVER;

  constructor(
    private readonly clock: clocks.Clock,
    private readonly listener: ReplicaListener,
  ) {}

  /** The offset that follows the last known record; -1 before anything is known. */
  get endOffset(): number {
    return this.end;
  }

  get isKnown(): boolean {
    return this.end >= 0;
  }

  /** Time since the store confirmed what is known, in milliseconds; Infinity where it never did. */
  get ageMs(): number {
    return ageClocks.ageMs(this.confirmedAt, this.clock);
  }

  /** Takes in a whole topic; one that ends before what is known changes nothing. */
  applyListing(
    batch: types.RecordBatch,
    confirmedAt: ageClocks.Moment,
    source: ViewSource,
  ): boolean {
    if (batch.endOffset < this.end) return false;
    const origin = { source, viewAgeMs: this.ageMs };
    const merged = new Map<string, types.ViewRecord>();
    for (const record of batch.records) {
      if (record.value !== null)
        merged.set(record.key, newest(this.records.get(record.key), record));
    }
    this.records = merged;
    this.end = batch.endOffset;
    this.confirm(batch.endOffset, confirmedAt);
    this.listener.onListing([...merged.values()], origin);
    return true;
  }

  /**
   * Takes in the records that follow an offset.
   *
   * @returns false where records between are missing, and nothing was changed
   */
  applyRecords(
    fromOffset: number,
    batch: types.RecordBatch,
    confirmedAt: ageClocks.Moment,
    source: ViewSource,
  ): boolean {
    if (!this.isKnown || fromOffset > this.end) return false;
    const origin = { source, viewAgeMs: this.ageMs };
    const fresh = batch.records.filter(({ offset }) => offset >= this.end);
    for (const record of fresh) {
      if (record.value === null) this.records.delete(record.key);
      else this.records.set(record.key, record);
    }
    this.end = Math.max(this.end, batch.endOffset);
    this.confirm(batch.endOffset, confirmedAt);
    if (fresh.length > 0) this.listener.onRecords(fresh, origin);
    return true;
  }

  /** The store, or a peer on its behalf, says that the topic ended at an offset at a moment. */
  confirm(endOffset: number, confirmedAt: ageClocks.Moment): void {
    if (endOffset > this.end || !this.isKnown) return;
    if (confirmedAt.steadyMs > this.confirmedAt.steadyMs) this.confirmedAt = confirmedAt;
  }

  /** All that is known, to be passed on to a peer. */
  snapshot(): types.RecordBatch {
    return { records: [...this.records.values()], endOffset: this.end };
  }
}

function newest(known: types.ViewRecord | undefined, record: types.ViewRecord): types.ViewRecord {
  return known !== undefined && known.offset > record.offset ? known : record;
}

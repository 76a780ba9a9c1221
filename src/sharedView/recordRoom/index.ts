import * as constants from "../constants.js";
import type * as types from "../types.js";

/** Memory that records take beside their values: the object, the key and the entry of the table. */
const RECORD_OVERHEAD_BYTES = 200;

/** Returns the memory that records take, in bytes. */
export function measureRecords(records: readonly types.ViewRecord[]): number {
  return records.reduce((sum, { key, value }) => {
    return sum + RECORD_OVERHEAD_BYTES + key.length + (value?.length ?? 0);
  }, 0);
}

/** What is known of a topic before further records are taken. */
export interface RoomOptions {
  /** The known records, by key. */
  readonly known?: ReadonlyMap<string, types.ViewRecord>;
  /** Size of the known records, in bytes. */
  readonly knownBytes?: number;
  /** Whether a record may use the room that is reserved for what a VM cannot serve without. */
  readonly isEssential?: (record: types.ViewRecord) => boolean;
}

/**
 * Decides which records of a topic are kept, so that the topic has a largest size: always those of known keys, and
 * those of further keys while there is room beside the known ones.
 */
export class RecordRoom {
  private usedBytes: number;
  /** Sizes of the records that were taken, by key: a list may name a key twice. */
  private readonly takenBytes = new Map<string, number>();
  private firstLeftOut: types.ViewRecord | null = null;
  private leftOutCount = 0;

  constructor(private readonly options: RoomOptions = {}) {
    this.usedBytes = options.knownBytes ?? 0;
  }

  /** Records that were left out for lack of room; null if there are none. */
  get leftOut(): types.LeftOutRecords | null {
    if (this.firstLeftOut === null) return null;
    return { first: this.firstLeftOut, recordsCount: this.leftOutCount };
  }

  /** Takes a record, unless it is of a further key for which there is no room. */
  take(record: types.ViewRecord): boolean {
    const known = this.options.known?.get(record.key);
    const knownBytes = known === undefined ? 0 : measureRecords([known]);
    const formerBytes = this.takenBytes.get(record.key) ?? knownBytes;
    const newBytes = record.value === null ? 0 : measureRecords([record]);
    const sizeBytes = this.usedBytes - formerBytes + newBytes;
    if (known === undefined && newBytes > 0 && !this.hasRoom(sizeBytes, record)) {
      this.firstLeftOut ??= { ...record, value: null };
      this.leftOutCount += 1;
      return false;
    }
    this.usedBytes = sizeBytes;
    this.takenBytes.set(record.key, newBytes);
    return true;
  }

  private hasRoom(sizeBytes: number, record: types.ViewRecord): boolean {
    if (sizeBytes <= constants.MAX_REPLICA_BYTES) return true;
    const reservedBytes = constants.ESSENTIAL_RECORDS_BYTES;
    if (sizeBytes > constants.MAX_REPLICA_BYTES + reservedBytes) return false;
    return this.options.isEssential?.(record) === true;
  }
}

import type * as types from "../../types.js";
import * as leaseRecords from "../leaseRecords/index.js";

/** The latest lease of a scope, as the log tells it. */
export interface LeaseEntry {
  readonly holder: string;
  readonly instance: string;
  /** Offset of the record that acquired it. */
  readonly fencingNumber: number;
  /** Offset of the last record that changed it. */
  readonly lastOffset: number;
  readonly termMs: number;
  readonly isReleased: boolean;
  /** When this VM has read the last record, by its monotonic clock. */
  readonly readAtMs: number;
}

type Apply<T> = (record: T, offset: number, known: LeaseEntry | undefined) => Change;
type Change = Omit<LeaseEntry, "readAtMs"> | undefined;

interface Handlers {
  readonly [leaseRecords.LeaseAction.Acquire]: Apply<leaseRecords.AcquireRecord>;
  readonly [leaseRecords.LeaseAction.Renew]: Apply<leaseRecords.RenewRecord>;
  readonly [leaseRecords.LeaseAction.Release]: Apply<leaseRecords.ReleaseRecord>;
}

const HANDLERS: Handlers = {
  [leaseRecords.LeaseAction.Acquire]: applyAcquire,
  [leaseRecords.LeaseAction.Renew]: applyRenew,
  [leaseRecords.LeaseAction.Release]: applyRelease,
};

/**
 * The leases as the log's records make them, in the order of their offsets. Which record takes
 * effect depends on records alone and never on a clock, so all readers agree: an acquisition
 * names the last record of the lease that it follows, and has no effect when the holder has
 * renewed since.
 */
export class LeaseTable {
  private readonly entries = new Map<string, LeaseEntry>();

  /** The latest lease of a scope; it may have lapsed. */
  get(purpose: types.LeasePurpose, scope: string): LeaseEntry | undefined {
    return this.entries.get(keyOf(purpose, scope));
  }

  /**
   * Applies one record.
   *
   * @returns false where the record has no effect
   */
  apply(record: leaseRecords.LeaseRecord, offset: number, nowMs: number): boolean {
    const key = keyOf(record.purpose, record.scope);
    const apply = HANDLERS[record.action] as Apply<leaseRecords.LeaseRecord>;
    const change = apply(record, offset, this.entries.get(key));
    if (change === undefined) return false;
    this.entries.set(key, { ...change, readAtMs: nowMs });
    return true;
  }
}

function applyAcquire(
  record: leaseRecords.AcquireRecord,
  offset: number,
  known: LeaseEntry | undefined,
): Change {
  const isFollowing = known === undefined || known.lastOffset === record.followsOffset;
  if (!isFollowing && !known.isReleased) return undefined;
  const { holder, instance, termMs } = record;
  return {
    holder,
    instance,
    termMs,
    fencingNumber: offset,
    lastOffset: offset,
    isReleased: false,
  };
}

/** A renewal of a lease whose acquisition the log no longer retains tells all there is to know. */
function applyRenew(
  record: leaseRecords.RenewRecord,
  offset: number,
  known: LeaseEntry | undefined,
): Change {
  if (known !== undefined && !isOf(known, record)) return undefined;
  const { holder, instance, termMs, fencingNumber } = record;
  return { holder, instance, termMs, fencingNumber, lastOffset: offset, isReleased: false };
}

function applyRelease(
  record: leaseRecords.ReleaseRecord,
  offset: number,
  known: LeaseEntry | undefined,
): Change {
  if (known === undefined || !isOf(known, record)) return undefined;
  return { ...known, lastOffset: offset, isReleased: true };
}

function isOf(
  entry: LeaseEntry,
  record: leaseRecords.RenewRecord | leaseRecords.ReleaseRecord,
): boolean {
  const isSameHolder = entry.instance === record.instance && !entry.isReleased;
  return isSameHolder && entry.fencingNumber === record.fencingNumber;
}

function keyOf(purpose: types.LeasePurpose, scope: string): string {
  return `${purpose}/${scope}`;
}

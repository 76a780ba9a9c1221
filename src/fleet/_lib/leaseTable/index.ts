import type * as types from "../../types.js";
import * as leaseRecords from "../leaseRecords/index.js";

/** The latest lease of a scope, according to the log. */
export interface LeaseEntry {
  readonly holder: string;
  /** Identifies the process that holds the lease. */
  readonly instance: string;
  /** Offset of the acquisition record. */
  readonly fencingNumber: number;
  /** Offset of the last record that changed the lease. */
  readonly lastOffset: number;
  readonly termMs: number;
  readonly isReleased: boolean;
  /** Time at which this VM read the last record, by its monotonic clock. */
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
 * The leases that result from the log's records, applied in the order of their offsets. Whether a
 * record takes effect depends only on records and never on a clock, so all readers agree: an
 * acquisition names the last record of the lease that it follows, and has no effect if a later
 * record has changed the lease, unless the lease is released.
 */
export class LeaseTable {
  private readonly entries = new Map<string, LeaseEntry>();

  /** Returns the latest lease of a scope, which may have lapsed. */
  get(purpose: types.LeasePurpose, scope: string): LeaseEntry | undefined {
    return this.entries.get(keyOf(purpose, scope));
  }

  /**
   * Applies one record.
   *
   * @returns false if the record has no effect
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

/** Applies a renewal also to an unknown lease, whose acquisition the log may no longer retain. */
function applyRenew(
  record: leaseRecords.RenewRecord,
  offset: number,
  known: LeaseEntry | undefined,
): Change {
  if (known !== undefined && !isSameLease(known, record)) return undefined;
  const { holder, instance, termMs, fencingNumber } = record;
  return { holder, instance, termMs, fencingNumber, lastOffset: offset, isReleased: false };
}

function applyRelease(
  record: leaseRecords.ReleaseRecord,
  offset: number,
  known: LeaseEntry | undefined,
): Change {
  if (known === undefined || !isSameLease(known, record)) return undefined;
  return { ...known, lastOffset: offset, isReleased: true };
}

function isSameLease(
  entry: LeaseEntry,
  record: leaseRecords.RenewRecord | leaseRecords.ReleaseRecord,
): boolean {
  const isSameHolder = entry.instance === record.instance && !entry.isReleased;
  return isSameHolder && entry.fencingNumber === record.fencingNumber;
}

function keyOf(purpose: types.LeasePurpose, scope: string): string {
  return `${purpose}/${scope}`;
}

import type * as clocks from "../../../_lib/clock/index.js";
import type * as platform from "../../../controlPlane/types.js";
import * as replication from "../../../replication/index.js";
import * as callRecords from "../callRecords/index.js";

/** Wakes the calls that wait for a change of a key. */
export class KeyWatch {
  private readonly waiters = new Map<string, Set<() => void>>();

  constructor(private readonly clock: clocks.Clock) {}

  get waitingCount(): number {
    let count = 0;
    for (const waiters of this.waiters.values()) count += waiters.size;
    return count;
  }

  /** Wakes those whose keys the records touch; all of them after a jump to a snapshot. */
  onApplied(records: readonly platform.LogRecord[]): void {
    if (records.length === 0) {
      for (const keyId of [...this.waiters.keys()]) this.wake(keyId);
      return;
    }
    for (const record of records) {
      if (this.waiters.size === 0) return;
      const parsed = callRecords.parseCallRecord(record.payload);
      if (parsed !== null) this.wake(parsed.keyId);
    }
  }

  wake(keyId: string): void {
    for (const wake of this.waiters.get(keyId) ?? []) wake();
  }

  /** Waits for the next change of a key, but no longer than the limit. */
  async wait(keyId: string, limitMs: number): Promise<void> {
    const { promise, resolve } = replication.createDeferred<undefined>();
    const waiter = (): void => resolve(undefined);
    const waiters = this.waiters.get(keyId) ?? new Set();
    this.waiters.set(keyId, waiters.add(waiter));
    await replication.waitAtMost(this.clock, limitMs, promise);
    waiters.delete(waiter);
    if (waiters.size === 0 && this.waiters.get(keyId) === waiters) this.waiters.delete(keyId);
  }
}

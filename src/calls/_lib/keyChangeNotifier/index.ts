import type * as clocks from "../../../_lib/clock/index.js";
import type * as platform from "../../../controlPlane/types.js";
import * as replication from "../../../replication/index.js";
import * as callRecords from "../callRecords/index.js";

/** Notifies calls that wait for a change of a key. */
export class KeyChangeNotifier {
  private readonly waiters = new Map<string, Set<() => void>>();

  constructor(private readonly clock: clocks.Clock) {}

  /** Number of calls that wait for a change of any key. */
  get waitingCount(): number {
    let count = 0;
    for (const waiters of this.waiters.values()) count += waiters.size;
    return count;
  }

  /**
   * Notifies the calls that wait for a key of the records. An empty list means that a snapshot was
   * loaded: any key may have changed, so all waiting calls are notified.
   */
  onRecordsApplied(records: readonly platform.LogRecord[]): void {
    if (records.length === 0) {
      for (const keyId of [...this.waiters.keys()]) this.notify(keyId);
      return;
    }
    for (const record of records) {
      if (this.waiters.size === 0) return;
      const parsed = callRecords.parseCallRecord(record.payload);
      if (parsed !== null) this.notify(parsed.keyId);
    }
  }

  /** Notifies all calls that wait for a change of a key. */
  notify(keyId: string): void {
    for (const resolveWaiter of this.waiters.get(keyId) ?? []) resolveWaiter();
  }

  /** Waits for the next change of a key, but for no longer than `limitMs`. */
  async waitForChange(keyId: string, limitMs: number): Promise<void> {
    const { promise, resolve } = replication.createDeferred<undefined>();
    const waiter = (): void => resolve(undefined);
    const waiters = this.waiters.get(keyId) ?? new Set();
    this.waiters.set(keyId, waiters.add(waiter));
    await replication.waitAtMost(this.clock, limitMs, promise);
    waiters.delete(waiter);
    if (waiters.size === 0 && this.waiters.get(keyId) === waiters) this.waiters.delete(keyId);
  }
}

import type * as clocks from "../../_lib/clock/index.js";
import * as types from "../types.js";

/** Writes bytes without blocking; calls `done` when they are written or the write failed. */
export type WriteBytes = (bytes: Buffer, done: (error: Error | null) => void) => void;

/** Limits of a bounded writer. */
export interface WriterLimits {
  /** Largest number of bytes that wait to be written. */
  readonly maxQueuedBytes: number;
  /** Sustained rate limit; bursts of a few seconds' lines may exceed it. */
  readonly maxLinesPerSecond: number;
}

/** Fraction of the limits up to which lines of each importance are accepted. */
const LIMIT_RATIO_BY_IMPORTANCE: Readonly<Record<types.Importance, number>> = {
  [types.Importance.Routine]: 0.5,
  [types.Importance.Notable]: 0.8,
  [types.Importance.StateChange]: 1,
};

/** Size of an accepted burst, in seconds of the sustained rate. */
const MAX_BURST_S = 4;

/**
 * Writes lines without ever blocking the process on a slow reader. Lines that exceed the limits are
 * dropped, the least important first, and counted.
 */
export class BoundedWriter {
  private queue: Buffer[] = [];
  private queuedBytes = 0;
  private isWriting = false;
  private recentLinesCount = 0;
  private updatedAtMs: number;
  private droppedCount = 0;

  constructor(
    private readonly write: WriteBytes,
    private readonly clock: clocks.Clock,
    private readonly limits: WriterLimits,
  ) {
    this.updatedAtMs = clock.nowMs();
  }

  /** Returns the number of lines dropped since the previous call, and resets it. */
  takeDroppedCount(): number {
    const count = this.droppedCount;
    this.droppedCount = 0;
    return count;
  }

  /** Queues a line, or drops it if a limit is exceeded; returns whether it was queued. */
  push(line: string, importance: types.Importance): boolean {
    const bytes = Buffer.from(line);
    if (!this.hasCapacity(bytes.length, importance)) {
      this.droppedCount += 1;
      return false;
    }
    this.recentLinesCount += 1;
    this.queue.push(bytes);
    this.queuedBytes += bytes.length;
    this.flush();
    return true;
  }

  private hasCapacity(sizeBytes: number, importance: types.Importance): boolean {
    const nowMs = this.clock.nowMs();
    const expiredLinesCount = ((nowMs - this.updatedAtMs) / 1_000) * this.limits.maxLinesPerSecond;
    this.recentLinesCount = Math.max(0, this.recentLinesCount - expiredLinesCount);
    this.updatedAtMs = nowMs;
    const limitRatio = LIMIT_RATIO_BY_IMPORTANCE[importance];
    const maxLinesCount = limitRatio * this.limits.maxLinesPerSecond * MAX_BURST_S;
    const isWithinRate = this.recentLinesCount + 1 <= maxLinesCount;
    const isWithinQueue = this.queuedBytes + sizeBytes <= limitRatio * this.limits.maxQueuedBytes;
    return isWithinRate && isWithinQueue;
  }

  private flush(): void {
    if (this.isWriting || this.queue.length === 0) return;
    const bytes = Buffer.concat(this.queue);
    this.queue = [];
    this.isWriting = true;
    this.write(bytes, (error) => {
      this.isWriting = false;
      this.queuedBytes -= bytes.length;
      // A failed write counts as one dropped line.
      if (error !== null) this.droppedCount += 1;
      this.flush();
    });
  }
}

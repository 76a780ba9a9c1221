import type * as clocks from "../../_lib/clock/index.js";
import * as types from "../types.js";

/** Writes bytes somewhere without blocking; calls back when they are written or failed. */
export type WriteBytes = (bytes: Buffer, done: (error: Error | null) => void) => void;

/** Bounds on what is written. */
export interface WriterLimits {
  /** Bytes that may wait for a reader that is slow. */
  readonly maxQueuedBytes: number;
  /** Lines a second over a longer time. */
  readonly maxLinesPerSecond: number;
}

/** Share of the bounds up to which lines of each importance are taken. */
const SHARES: Readonly<Record<types.Importance, number>> = {
  [types.Importance.Routine]: 0.5,
  [types.Importance.Notable]: 0.8,
  [types.Importance.Belief]: 1,
};

/** Seconds' worth of lines that may come at once. */
const BURST_S = 4;

/**
 * Passes lines on without ever waiting for their reader. What exceeds the bounds is dropped,
 * ordinary lines first, and counted.
 */
export class BoundedWriter {
  private queue: Buffer[] = [];
  private queuedBytes = 0;
  private isWriting = false;
  private spentLines = 0;
  private updatedMs: number;
  private dropped = 0;

  constructor(
    private readonly write: WriteBytes,
    private readonly clock: clocks.Clock,
    private readonly limits: WriterLimits,
  ) {
    this.updatedMs = clock.nowMs();
  }

  /** Lines that were dropped since the last call. */
  takeDroppedCount(): number {
    const count = this.dropped;
    this.dropped = 0;
    return count;
  }

  /** Takes a line, or drops it; returns whether it was taken. */
  push(line: string, importance: types.Importance): boolean {
    const bytes = Buffer.from(line);
    if (!this.hasRoom(bytes.length, importance)) {
      this.dropped += 1;
      return false;
    }
    this.spentLines += 1;
    this.queue.push(bytes);
    this.queuedBytes += bytes.length;
    this.flush();
    return true;
  }

  private hasRoom(sizeBytes: number, importance: types.Importance): boolean {
    const nowMs = this.clock.nowMs();
    const regainedLines = ((nowMs - this.updatedMs) / 1_000) * this.limits.maxLinesPerSecond;
    this.spentLines = Math.max(0, this.spentLines - regainedLines);
    this.updatedMs = nowMs;
    const share = SHARES[importance];
    const maxLines = share * this.limits.maxLinesPerSecond * BURST_S;
    const isWithinRate = this.spentLines + 1 <= maxLines;
    const isWithinQueue = this.queuedBytes + sizeBytes <= share * this.limits.maxQueuedBytes;
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
      // What a closed output did not take counts as dropped.
      if (error !== null) this.dropped += 1;
      this.flush();
    });
  }
}

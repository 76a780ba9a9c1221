import * as constants from "../../constants.js";

/** Bounds of a queue of frames. */
export interface FrameQueueLimits {
  readonly maxQueuedBytes: number;
  readonly maxQueuedCount: number;
}

/** Frames that wait to be written to one connection, bounded in bytes and count. */
export class FrameQueue {
  /** Frames ever added, and frames ever taken out: a frame's sequence tells whether it was written. */
  addedCount = 0;
  takenCount = 0;
  private frames: Buffer[] = [];
  private readonly wakers = new Set<() => void>();
  private queuedBytes = 0;

  constructor(private readonly limits: FrameQueueLimits) {}

  get isEmpty(): boolean {
    return this.frames.length === 0;
  }

  get isFull(): boolean {
    return (
      this.queuedBytes >= this.limits.maxQueuedBytes ||
      this.frames.length >= this.limits.maxQueuedCount
    );
  }

  /** Adds a frame, whatever the bounds; who adds checks isFull before. */
  push(frame: Buffer): void {
    this.frames.push(frame);
    this.queuedBytes += frame.length;
    this.addedCount += 1;
    this.wake();
  }

  /** Resolves when there is a frame, or when woken by wake(). */
  async waitForFrame(): Promise<void> {
    if (!this.isEmpty) return;
    await this.waitForWake();
  }

  /** Resolves when the queue has room again, or when woken by wake(). */
  async waitForRoom(): Promise<void> {
    if (!this.isFull) return;
    await this.waitForWake();
  }

  /** Takes out the frames at the front, joined into one buffer. */
  takeBatch(): Buffer {
    let count = 0;
    let batchBytes = 0;
    for (const frame of this.frames) {
      if (count > 0 && batchBytes + frame.length > constants.MAX_WRITE_BYTES) break;
      batchBytes += frame.length;
      count += 1;
    }
    const batch = this.frames.splice(0, count);
    this.queuedBytes -= batchBytes;
    this.takenCount += count;
    this.wake();
    const [first] = batch;
    return batch.length === 1 && first !== undefined ? first : Buffer.concat(batch, batchBytes);
  }

  /** Drops everything that waits. */
  clear(): void {
    this.takenCount += this.frames.length;
    this.frames = [];
    this.queuedBytes = 0;
    this.wake();
  }

  /** Lets everyone who waits look again. */
  wake(): void {
    const wakers = [...this.wakers];
    this.wakers.clear();
    for (const waker of wakers) waker();
  }

  /** Resolves at the next change of the queue, or at wake(). */
  waitForWake(): Promise<void> {
    return new Promise((resolve) => this.wakers.add(resolve));
  }
}

import * as constants from "../../constants.js";

/** Limits of a frame queue, in bytes and frames. */
export interface FrameQueueLimits {
  readonly maxQueuedBytes: number;
  readonly maxQueuedCount: number;
}

/** Queue of frames that wait to be written to one connection, limited in bytes and count. */
export class FrameQueue {
  /** Number of frames ever added; the count after adding a frame is its sequence number. */
  addedCount = 0;
  /** Number of frames ever removed; frames with a sequence number up to it were written or dropped. */
  takenCount = 0;
  private frames: Buffer[] = [];
  private readonly waiters = new Set<() => void>();
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

  /** Adds a frame without checking the limits; the caller checks isFull first. */
  push(frame: Buffer): void {
    this.frames.push(frame);
    this.queuedBytes += frame.length;
    this.addedCount += 1;
    this.wake();
  }

  /** Resolves when the queue is not empty, or at the next change or wake(). */
  async waitForFrame(): Promise<void> {
    if (!this.isEmpty) return;
    await this.waitForChange();
  }

  /** Resolves when the queue is not full, or at the next change or wake(). */
  async waitForCapacity(): Promise<void> {
    if (!this.isFull) return;
    await this.waitForChange();
  }

  /** Removes frames from the front, up to the size of one write, and joins them into one buffer. */
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

  /** Drops all queued frames. */
  clear(): void {
    this.takenCount += this.frames.length;
    this.frames = [];
    this.queuedBytes = 0;
    this.wake();
  }

  /** Resolves all pending waits, so that the waiting tasks check the queue again. */
  wake(): void {
    const waiters = [...this.waiters];
    this.waiters.clear();
    for (const resolveWaiter of waiters) resolveWaiter();
  }

  /** Resolves at the next change of the queue, or at wake(). */
  waitForChange(): Promise<void> {
    return new Promise((resolve) => this.waiters.add(resolve));
  }
}

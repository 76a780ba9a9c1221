import type * as clocks from "../clock/index.js";

const MS_PER_SECOND = 1_000;
const BUCKETS_COUNT = 10;

/** Rate of the events of a window that ends now, counted in tenths of the window. */
export class MovingRate {
  private readonly counts = Array<number>(BUCKETS_COUNT).fill(0);
  private bucketNumber: number;

  constructor(
    private readonly clock: clocks.Clock,
    private readonly windowMs: number,
  ) {
    this.bucketNumber = this.computeBucketNumber();
  }

  /** Counts an event. */
  record(): void {
    this.forgetOld();
    const index = this.bucketNumber % BUCKETS_COUNT;
    this.counts[index] = (this.counts[index] ?? 0) + 1;
  }

  /** Events a second. */
  get perSecond(): number {
    this.forgetOld();
    const sum = this.counts.reduce((total, count) => total + count, 0);
    return (sum * MS_PER_SECOND) / this.windowMs;
  }

  private forgetOld(): void {
    const current = this.computeBucketNumber();
    const passedCount = Math.min(BUCKETS_COUNT, current - this.bucketNumber);
    for (let offset = 0; offset < passedCount; offset += 1)
      this.counts[(current - offset) % BUCKETS_COUNT] = 0;
    this.bucketNumber = current;
  }

  private computeBucketNumber(): number {
    return Math.floor((this.clock.nowMs() * BUCKETS_COUNT) / this.windowMs);
  }
}

import type * as clocks from "../../../_lib/clock/index.js";

/** Tracks what callers have received of a generation at this VM, and whether any is attached. */
export class Deliveries {
  /** Highest offset up to which a caller has read at this VM. */
  deliveredOffset = 0;
  /** Whether a caller has received the last token and the finish reason. */
  hasDeliveredEnd = false;
  private attachedCount = 0;
  private lastDetachedAtMs: number;
  /** Lowest offset at which this owner started a new engine stream instead of resuming one. */
  private newSamplingOffset = Infinity;

  constructor(private readonly clock: clocks.Clock) {
    this.lastDetachedAtMs = clock.nowMs();
  }

  get isAttached(): boolean {
    return this.attachedCount > 0;
  }

  /** Time since the last caller detached, or since creation; 0 while one is attached. */
  get detachedMs(): number {
    return this.isAttached ? 0 : this.clock.nowMs() - this.lastDetachedAtMs;
  }

  attach(): void {
    this.attachedCount += 1;
  }

  detach(): void {
    this.attachedCount -= 1;
    this.lastDetachedAtMs = this.clock.nowMs();
  }

  recordDelivered(offset: number): void {
    this.deliveredOffset = Math.max(this.deliveredOffset, offset);
  }

  /** Records that a new engine stream was started after this many tokens. */
  recordNewSampling(offset: number): void {
    this.newSamplingOffset = Math.min(this.newSamplingOffset, offset);
  }

  /**
   * Whether a caller that has read up to an offset may hold tokens of another sampling: a new
   * engine stream was started before that offset, and this owner did not deliver the tokens in
   * between.
   */
  isSplicedAt(offset: number): boolean {
    return offset > this.newSamplingOffset && offset > this.deliveredOffset;
  }
}

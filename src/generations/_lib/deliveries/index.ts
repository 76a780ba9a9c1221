import type * as clocks from "../../../_lib/clock/index.js";

/** What callers have got of a generation at this VM, and whether any is still there. */
export class Deliveries {
  /** How far callers have read here. */
  deliveredOffset = 0;
  /** Whether a caller has been given the last token and the reason of the end. */
  hasDeliveredEnd = false;
  private attachedCount = 0;
  private lastAttachedAtMs: number;
  /** Lowest offset at which this owner had a new run started instead of resuming one. */
  private branchOffset = Infinity;

  constructor(private readonly clock: clocks.Clock) {
    this.lastAttachedAtMs = clock.nowMs();
  }

  get isAttached(): boolean {
    return this.attachedCount > 0;
  }

  /** How long no caller has been there. */
  get unattendedMs(): number {
    return this.isAttached ? 0 : this.clock.nowMs() - this.lastAttachedAtMs;
  }

  attach(): void {
    this.attachedCount += 1;
  }

  detach(): void {
    this.attachedCount -= 1;
    this.lastAttachedAtMs = this.clock.nowMs();
  }

  noteDelivered(offset: number): void {
    this.deliveredOffset = Math.max(this.deliveredOffset, offset);
  }

  /** A new run was started after so many tokens. */
  noteBranch(offset: number): void {
    this.branchOffset = Math.min(this.branchOffset, offset);
  }

  /**
   * Whether a caller that has read up to an offset holds tokens of another sampling: a new run was
   * started before that offset, and this owner did not deliver the tokens in between.
   */
  isSplicedAt(offset: number): boolean {
    return offset > this.branchOffset && offset > this.deliveredOffset;
  }
}

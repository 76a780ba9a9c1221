import * as constants from "../../constants.js";

const MS_PER_SECOND = 1_000;

/** Credit that grows at a rate which may change; it may be overdrawn by work already running. */
export class TokenBucket {
  private ratePerSecond = 0;
  private credit = 0;
  private updatedAtMs: number;

  /**
   * @param minBurst - the credit that can be saved up at least, however low the rate
   */
  constructor(
    private readonly minBurst: number,
    nowMs: number,
  ) {
    this.updatedAtMs = nowMs;
  }

  /** Changes the rate; the first one brings the credit of a full burst with it. */
  setRate(ratePerSecond: number, nowMs: number): void {
    this.update(nowMs);
    const isFirst = this.ratePerSecond === 0 && this.credit === 0;
    this.ratePerSecond = ratePerSecond;
    if (isFirst) this.credit = ratePerSecond * constants.BURST_SECONDS;
    this.credit = Math.min(this.credit, this.burst());
  }

  /** Whether the credit covers an amount. */
  has(amount: number, nowMs: number): boolean {
    this.update(nowMs);
    return this.credit >= amount;
  }

  /** Takes an amount, also when the credit does not cover it. */
  spend(amount: number, nowMs: number): void {
    this.update(nowMs);
    this.credit -= amount;
  }

  /** Milliseconds until the credit covers an amount; Infinity where it never will. */
  waitMs(amount: number, nowMs: number): number {
    this.update(nowMs);
    if (this.credit >= amount) return 0;
    return ((amount - this.credit) / this.ratePerSecond) * MS_PER_SECOND;
  }

  private update(nowMs: number): void {
    const earned = ((nowMs - this.updatedAtMs) / MS_PER_SECOND) * this.ratePerSecond;
    this.credit = Math.min(this.burst(), this.credit + earned);
    this.updatedAtMs = nowMs;
  }

  private burst(): number {
    return Math.max(this.minBurst, this.ratePerSecond * constants.BURST_SECONDS);
  }
}

/** Maximum credit of a token bucket, in seconds of its rate, unless it is given another. */
const DEFAULT_BURST_SECONDS = 1;

const MS_PER_SECOND = 1_000;

/** A token bucket with a variable rate. Spending may exceed the credit, which is then negative. */
export class TokenBucket {
  private ratePerSecond = 0;
  private credit = 0;
  private updatedAtMs: number;

  /**
   * @param minBurst - lower bound of the maximum credit, whatever the rate
   * @param nowMs - current monotonic time, also in the methods
   * @param burstSeconds - maximum credit, in seconds of the rate
   */
  constructor(
    private readonly minBurst: number,
    nowMs: number,
    private readonly burstSeconds = DEFAULT_BURST_SECONDS,
  ) {
    this.updatedAtMs = nowMs;
  }

  /** Changes the rate; the first rate fills the bucket with the credit of a full burst. */
  setRate(ratePerSecond: number, nowMs: number): void {
    this.addEarnedCredit(nowMs);
    const isFirst = this.ratePerSecond === 0 && this.credit === 0;
    this.ratePerSecond = ratePerSecond;
    if (isFirst) this.credit = ratePerSecond * this.burstSeconds;
    this.credit = Math.min(this.credit, this.computeMaxCredit());
  }

  /** Whether the credit covers `amount`. */
  hasCredit(amount: number, nowMs: number): boolean {
    this.addEarnedCredit(nowMs);
    return this.credit >= amount;
  }

  /** Deducts `amount`, even if the credit does not cover it. */
  spend(amount: number, nowMs: number): void {
    this.addEarnedCredit(nowMs);
    this.credit -= amount;
  }

  /** Computes the milliseconds until the credit covers `amount`; Infinity at a rate of 0. */
  computeWaitMs(amount: number, nowMs: number): number {
    this.addEarnedCredit(nowMs);
    if (this.credit >= amount) return 0;
    return ((amount - this.credit) / this.ratePerSecond) * MS_PER_SECOND;
  }

  private addEarnedCredit(nowMs: number): void {
    const earned = ((nowMs - this.updatedAtMs) / MS_PER_SECOND) * this.ratePerSecond;
    this.credit = Math.min(this.computeMaxCredit(), this.credit + earned);
    this.updatedAtMs = nowMs;
  }

  private computeMaxCredit(): number {
    return Math.max(this.minBurst, this.ratePerSecond * this.burstSeconds);
  }
}

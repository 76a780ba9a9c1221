import type * as clocks from "../../_lib/clock/index.js";

/** Limits on retries, for the whole fleet and one service. */
export interface RetryBudgetOptions {
  /** Retries allowed for each call in the window. */
  readonly ratio: number;
  /** Retries allowed in the window in addition, whatever the number of calls. */
  readonly slackCount: number;
  readonly windowMs: number;
}

/** Fraction of the fleet's limit that VMs use; the rest covers VMs that are not known yet. */
const USED_BUDGET_RATIO = 0.7;

/**
 * Fraction of this VM's share that is reserved for retries at once after a failure. Such a retry mostly saves
 * a call that would be lost; a hedge saves one that would be late, and a later try one that was repeated before.
 */
const RESERVED_RATIO = 0.5;

/** Number of time buckets that make up the sliding window. */
const WINDOW_BUCKETS_COUNT = 10;

interface Bucket {
  readonly index: number;
  callsCount: number;
  retriesCount: number;
}

/**
 * This VM's share of the retries that all VMs together may send to a service: the ratio of its own
 * calls, plus an equal share of the fixed allowance.
 */
export class RetryBudget {
  private readonly bucketsByService = new Map<string, Bucket[]>();

  constructor(
    private readonly clock: clocks.Clock,
    private readonly options: RetryBudgetOptions,
    private readonly liveVmsCount: () => number,
  ) {}

  /** Counts a caller's call to a service. */
  recordCall(serviceName: string): void {
    this.getCurrentBucket(serviceName).callsCount += 1;
  }

  /**
   * Consumes one retry of the service's budget; returns false if none is left.
   *
   * @param isSpare - whether the part that is reserved for retries at once may not be used
   */
  tryConsume(serviceName: string, isSpare = false): boolean {
    const reservedCount = isSpare ? RESERVED_RATIO * this.countAllowedRetries(serviceName) : 0;
    if (this.countRemainingRetries(serviceName) - reservedCount < 1) return false;
    this.getCurrentBucket(serviceName).retriesCount += 1;
    return true;
  }

  /** Returns the number of retries left in the window; may be fractional or negative. */
  countRemainingRetries(serviceName: string): number {
    const retriesCount = this.sumOf(serviceName, ({ retriesCount }) => retriesCount);
    return this.countAllowedRetries(serviceName) - retriesCount;
  }

  private countAllowedRetries(serviceName: string): number {
    const callsCount = this.sumOf(serviceName, ({ callsCount }) => callsCount);
    const fixedCount = this.options.slackCount / Math.max(1, this.liveVmsCount());
    return USED_BUDGET_RATIO * (this.options.ratio * callsCount + fixedCount);
  }

  private sumOf(serviceName: string, countOf: (bucket: Bucket) => number): number {
    this.getCurrentBucket(serviceName);
    const buckets = this.bucketsByService.get(serviceName) ?? [];
    return buckets.reduce((sum, bucket) => sum + countOf(bucket), 0);
  }

  private getCurrentBucket(serviceName: string): Bucket {
    const index = Math.floor((this.clock.nowMs() / this.options.windowMs) * WINDOW_BUCKETS_COUNT);
    const buckets = (this.bucketsByService.get(serviceName) ?? []).filter(
      (bucket) => bucket.index > index - WINDOW_BUCKETS_COUNT,
    );
    this.bucketsByService.set(serviceName, buckets);
    const newest = buckets.at(-1);
    if (newest?.index === index) return newest;
    const created: Bucket = { index, callsCount: 0, retriesCount: 0 };
    buckets.push(created);
    return created;
  }
}

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

  /** Consumes one retry of the service's budget; returns false if none is left. */
  tryConsume(serviceName: string): boolean {
    if (this.countRemainingRetries(serviceName) < 1) return false;
    this.getCurrentBucket(serviceName).retriesCount += 1;
    return true;
  }

  /** Returns the number of retries left in the window; may be fractional or negative. */
  countRemainingRetries(serviceName: string): number {
    this.getCurrentBucket(serviceName);
    const buckets = this.bucketsByService.get(serviceName) ?? [];
    const callsCount = buckets.reduce((sum, bucket) => sum + bucket.callsCount, 0);
    const retriesCount = buckets.reduce((sum, bucket) => sum + bucket.retriesCount, 0);
    const fixedCount = this.options.slackCount / Math.max(1, this.liveVmsCount());
    return USED_BUDGET_RATIO * (this.options.ratio * callsCount + fixedCount) - retriesCount;
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

import * as tokenBucket from "../../../_lib/tokenBucket/index.js";
import type * as catalogue from "../../../catalogue/types.js";
import * as constants from "../../constants.js";
import type * as types from "../../types.js";
import * as accountShare from "../accountShare/index.js";

const MS_PER_SECOND = 1_000;
const ONE_REQUEST = 1;

/** Why a request exceeds the share, and when it may be retried. */
export interface UsageRefusal {
  readonly reason: string;
  readonly retryAfterMs: number;
}

/** A VM's share of one account's limits, its current use of the share and its demand. */
export class AccountUsage {
  /** The VM's share; null before the first grant or fallback. */
  share: types.AccountShare | null = null;
  /** Whether the share is an even part of the limits, used while the home is unreachable. */
  isFallback = false;
  /** Whether a request to the home for the share is in flight. */
  isRefreshing = false;
  /** Whether the latest request to the home had no usable response. */
  isHomeUnreachable = false;
  /** Time of the latest grant. */
  refreshedAtMs = -Infinity;
  /** Name of the home that made the latest grant; empty before the first one. */
  refreshedFromVm = "";
  /** Time at which a request was last tried or ended. */
  lastUsedAtMs: number;
  private runningCount = 0;
  private peakRunningCount = 0;
  private refusedCount = 0;
  private attemptsCount = 0;
  private spentTokens = 0;
  private sampledAtMs: number;
  private smoothedDemand = accountShare.EMPTY_SHARE;
  private readonly requestBucket: tokenBucket.TokenBucket;
  private readonly tokenRateBucket: tokenBucket.TokenBucket;

  constructor(nowMs: number) {
    this.lastUsedAtMs = nowMs;
    this.sampledAtMs = nowMs;
    this.requestBucket = new tokenBucket.TokenBucket(ONE_REQUEST, nowMs);
    this.tokenRateBucket = new tokenBucket.TokenBucket(ONE_REQUEST, nowMs);
  }

  /** Whether the VM has a share. */
  hasShare(): boolean {
    return this.share !== null;
  }

  /** Whether the share allows at least one concurrent request. */
  hasUsableShare(): boolean {
    return (this.share?.concurrentRequests ?? 0) >= ONE_REQUEST;
  }

  /** Amounts that the VM may be using now; includes running requests beyond a lowered share. */
  heldShare(): types.AccountShare {
    const share = this.share ?? accountShare.EMPTY_SHARE;
    const concurrentRequests = Math.max(share.concurrentRequests, this.runningCount);
    return { ...share, concurrentRequests };
  }

  /** Sets the share and the rates that follow from it. */
  setShare(share: types.AccountShare, nowMs: number): void {
    this.share = share;
    this.requestBucket.setRate(share.requestsPerSecond, nowMs);
    this.tokenRateBucket.setRate(share.tokensPerSecond, nowMs);
  }

  /** Sets an even part of the limits as the share, for use while the home is unreachable. */
  applyFallbackShare(account: types.AccountShare, knownVmsCount: number, nowMs: number): void {
    const part = accountShare.createShare((field) => account[field] / knownVmsCount);
    const concurrentRequests = Math.max(ONE_REQUEST, Math.floor(part.concurrentRequests));
    this.isFallback = true;
    this.setShare({ ...part, concurrentRequests }, nowMs);
  }

  /** Starts a request, or returns the reason why it exceeds the share. */
  tryStartRequest(account: catalogue.ClientAccount, nowMs: number): UsageRefusal | undefined {
    this.attemptsCount += 1;
    this.lastUsedAtMs = nowMs;
    const refusal = this.findRefusal(account, nowMs);
    if (refusal !== undefined) {
      this.refusedCount += 1;
      return refusal;
    }
    this.requestBucket.spend(ONE_REQUEST, nowMs);
    this.runningCount += 1;
    this.peakRunningCount = Math.max(this.peakRunningCount, this.runningCount);
    return undefined;
  }

  /** Ends a request that `tryStartRequest` has started. */
  endRequest(nowMs: number): void {
    this.runningCount -= 1;
    this.lastUsedAtMs = nowMs;
  }

  /** Counts tokens against the token rate, even if it is exceeded. */
  spendTokens(count: number, nowMs: number): void {
    this.spentTokens += count;
    this.tokenRateBucket.spend(count, nowMs);
  }

  /** Whether no request runs and none was tried or ended for `idleMs`. */
  isIdle(idleMs: number, nowMs: number): boolean {
    return this.runningCount === 0 && nowMs - this.lastUsedAtMs >= idleMs;
  }

  /** Ends the sampling interval since the last call and returns the smoothed demand. */
  sampleDemand(nowMs: number): types.AccountShare {
    const elapsedSeconds = Math.max(1, nowMs - this.sampledAtMs) / MS_PER_SECOND;
    // Without a usable share, demand is sampled because a request waits for one: count it.
    const waitingCount = this.hasUsableShare() ? 0 : ONE_REQUEST;
    const attemptsCount = Math.max(waitingCount, this.attemptsCount);
    const current: types.AccountShare = {
      requestsPerSecond: attemptsCount / Math.max(1, elapsedSeconds),
      concurrentRequests: Math.max(waitingCount, this.peakRunningCount + this.refusedCount),
      tokensPerSecond: this.spentTokens / Math.max(1, elapsedSeconds),
    };
    this.smoothedDemand = accountShare.createShare((field) =>
      smoothDemand(this.smoothedDemand[field], current[field]),
    );
    this.sampledAtMs = nowMs;
    this.attemptsCount = 0;
    this.refusedCount = 0;
    this.spentTokens = 0;
    this.peakRunningCount = this.runningCount;
    return this.smoothedDemand;
  }

  /** Whether the VM's demand exceeds its share or is close to it, so that a refresh is due. */
  isShareScarce(): boolean {
    const { share } = this;
    if (this.refusedCount > 0 || share === null || this.isFallback) return true;
    return accountShare.SHARE_FIELDS.some(
      (field) => this.smoothedDemand[field] > constants.SCARCE_SHARE_RATIO * share[field],
    );
  }

  /** Records that `home` has received the demand and granted a share. */
  recordRefresh(home: string, nowMs: number): void {
    this.refreshedFromVm = home;
    this.refreshedAtMs = nowMs;
  }

  private findRefusal(account: catalogue.ClientAccount, nowMs: number): UsageRefusal | undefined {
    const { share } = this;
    if (share === null) return createRefusal("this VM has no share of the account's limits yet", 0);
    const slotsCount = Math.min(share.concurrentRequests, account.concurrentRequests);
    if (this.runningCount >= Math.floor(slotsCount)) {
      return createRefusal(
        `${this.runningCount} of ${slotsCount} concurrent requests are running at this VM`,
        constants.BUSY_RETRY_AFTER_MS,
      );
    }
    if (!this.requestBucket.hasCredit(ONE_REQUEST, nowMs)) {
      return createRefusal(
        `more than ${share.requestsPerSecond} requests per second at this VM`,
        this.requestBucket.computeWaitMs(ONE_REQUEST, nowMs),
      );
    }
    if (this.tokenRateBucket.hasCredit(Number.MIN_VALUE, nowMs)) return undefined;
    return createRefusal(
      `more than ${share.tokensPerSecond} tokens per second at this VM`,
      this.tokenRateBucket.computeWaitMs(ONE_REQUEST, nowMs),
    );
  }
}

/** Follows rising demand at once, with headroom, and falling demand with exponential smoothing. */
function smoothDemand(previous: number, current: number): number {
  const smoothed = previous + constants.DEMAND_SMOOTHING_WEIGHT * (current - previous);
  return Math.max(smoothed, current * constants.DEMAND_HEADROOM_RATIO);
}

function createRefusal(reason: string, waitMs: number): UsageRefusal {
  const boundedMs = Math.min(constants.MAX_RETRY_AFTER_MS, waitMs);
  return { reason, retryAfterMs: Math.ceil(Math.max(constants.MIN_RETRY_AFTER_MS, boundedMs)) };
}

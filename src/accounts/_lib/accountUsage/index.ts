import type * as catalogue from "../../../catalogue/types.js";
import * as constants from "../../constants.js";
import type * as types from "../../types.js";
import * as accountShare from "../accountShare/index.js";
import * as tokenBucket from "../tokenBucket/index.js";

const MS_PER_SECOND = 1_000;
const ONE_REQUEST = 1;

/** Why a request does not fit the share, and when it may. */
export interface UsageRefusal {
  readonly reason: string;
  readonly retryAfterMs: number;
}

/** What this VM uses of one account, and what it expects to need. */
export class AccountUsage {
  /** The VM's share, or null before the first answer of the account's home. */
  share: types.AccountShare | null = null;
  /** Whether the share is the VM's even part, taken because the home could not be reached. */
  isFallback = false;
  isRefreshing = false;
  isHomeUnreachable = false;
  refreshedAtMs = -Infinity;
  /** The home that granted the share. */
  refreshedFrom = "";
  lastUsedAtMs: number;
  private runningCount = 0;
  private peakCount = 0;
  private refusedCount = 0;
  private attemptsCount = 0;
  private spentTokens = 0;
  private sampledAtMs: number;
  private wanted = accountShare.EMPTY_SHARE;
  private readonly requests: tokenBucket.TokenBucket;
  private readonly tokens: tokenBucket.TokenBucket;

  constructor(nowMs: number) {
    this.lastUsedAtMs = nowMs;
    this.sampledAtMs = nowMs;
    this.requests = new tokenBucket.TokenBucket(ONE_REQUEST, nowMs);
    this.tokens = new tokenBucket.TokenBucket(ONE_REQUEST, nowMs);
  }

  /** Whether the VM may use any part of the limits. */
  hasShare(): boolean {
    return this.share !== null;
  }

  /** Whether the share has room for any request at all. */
  hasUsableShare(): boolean {
    return (this.share?.concurrentRequests ?? 0) >= ONE_REQUEST;
  }

  /** What the VM uses until its share changes; running requests count though the share shrinks. */
  held(): types.AccountShare {
    const share = this.share ?? accountShare.EMPTY_SHARE;
    const concurrentRequests = Math.max(share.concurrentRequests, this.runningCount);
    return { ...share, concurrentRequests };
  }

  setShare(share: types.AccountShare, nowMs: number): void {
    this.share = share;
    this.requests.setRate(share.requestsPerSecond, nowMs);
    this.tokens.setRate(share.tokensPerSecond, nowMs);
  }

  /** Takes the VM's even part of the limits while the home that would grant more is out of reach. */
  takeFallback(account: types.AccountShare, knownVmsCount: number, nowMs: number): void {
    const part = accountShare.shareOf((field) => account[field] / knownVmsCount);
    const concurrentRequests = Math.max(ONE_REQUEST, Math.floor(part.concurrentRequests));
    this.isFallback = true;
    this.setShare({ ...part, concurrentRequests }, nowMs);
  }

  /** Takes a place for a request, or says why there is none. */
  tryStart(account: catalogue.ClientAccount, nowMs: number): UsageRefusal | undefined {
    this.attemptsCount += 1;
    this.lastUsedAtMs = nowMs;
    const refusal = this.refusalOf(account, nowMs);
    if (refusal !== undefined) {
      this.refusedCount += 1;
      return refusal;
    }
    this.requests.spend(ONE_REQUEST, nowMs);
    this.runningCount += 1;
    this.peakCount = Math.max(this.peakCount, this.runningCount);
    return undefined;
  }

  end(nowMs: number): void {
    this.runningCount -= 1;
    this.lastUsedAtMs = nowMs;
  }

  spendTokens(count: number, nowMs: number): void {
    this.spentTokens += count;
    this.tokens.spend(count, nowMs);
  }

  isIdle(idleMs: number, nowMs: number): boolean {
    return this.runningCount === 0 && nowMs - this.lastUsedAtMs >= idleMs;
  }

  /** Closes the interval since the last call and returns the smoothed demand. */
  sampleDemand(nowMs: number): types.AccountShare {
    const elapsedSeconds = Math.max(1, nowMs - this.sampledAtMs) / MS_PER_SECOND;
    // A VM without a usable share asks because a request waits for one.
    const waitingCount = this.hasUsableShare() ? 0 : ONE_REQUEST;
    const attemptsCount = Math.max(waitingCount, this.attemptsCount);
    const current: types.AccountShare = {
      requestsPerSecond: attemptsCount / Math.max(1, elapsedSeconds),
      concurrentRequests: Math.max(waitingCount, this.peakCount + this.refusedCount),
      tokensPerSecond: this.spentTokens / Math.max(1, elapsedSeconds),
    };
    this.wanted = accountShare.shareOf((field) => smooth(this.wanted[field], current[field]));
    this.sampledAtMs = nowMs;
    this.attemptsCount = 0;
    this.refusedCount = 0;
    this.spentTokens = 0;
    this.peakCount = this.runningCount;
    return this.wanted;
  }

  /** Whether the VM may soon need more than its share, so that the home should hear of it now. */
  isShareScarce(): boolean {
    const { share } = this;
    if (this.refusedCount > 0 || share === null || this.isFallback) return true;
    return accountShare.SHARE_FIELDS.some(
      (field) => this.wanted[field] > constants.SCARCE_SHARE_RATIO * share[field],
    );
  }

  /** Takes note that a home knows the demand. */
  onRefreshed(home: string, nowMs: number): void {
    this.refreshedFrom = home;
    this.refreshedAtMs = nowMs;
  }

  private refusalOf(account: catalogue.ClientAccount, nowMs: number): UsageRefusal | undefined {
    if (this.share === null) return refusal("no share of the account's limits yet", 0);
    const places = Math.min(this.share.concurrentRequests, account.concurrentRequests);
    if (this.runningCount >= Math.floor(places)) {
      return refusal("too many requests at once", constants.BUSY_RETRY_AFTER_MS);
    }
    if (!this.requests.has(ONE_REQUEST, nowMs)) {
      return refusal("too many requests a second", this.requests.waitMs(ONE_REQUEST, nowMs));
    }
    if (this.tokens.has(Number.MIN_VALUE, nowMs)) return undefined;
    return refusal("too many tokens a second", this.tokens.waitMs(ONE_REQUEST, nowMs));
  }
}

/** Follows a rising demand at once and a falling one slowly. */
function smooth(previous: number, current: number): number {
  const smoothed = previous + constants.DEMAND_SMOOTHING * (current - previous);
  return Math.max(smoothed, current * constants.DEMAND_HEADROOM_RATIO);
}

function refusal(reason: string, waitMs: number): UsageRefusal {
  const boundedMs = Math.min(constants.MAX_RETRY_AFTER_MS, waitMs);
  return { reason, retryAfterMs: Math.ceil(Math.max(constants.MIN_RETRY_AFTER_MS, boundedMs)) };
}

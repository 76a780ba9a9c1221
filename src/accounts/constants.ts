import type * as types from "./types.js";

/** RPC method by which a VM reports its demand to an account's home and receives its share. */
export const DEMAND_METHOD = "accounts.demand";

/** Minimum ratio of the requested share to the demand of the latest interval. */
export const DEMAND_HEADROOM_RATIO = 1.25;

/** Weight of the latest interval in the exponentially smoothed demand. */
export const DEMAND_SMOOTHING_WEIGHT = 0.5;

/** Ratio of demand to share above which a share is scarce and is refreshed more often. */
export const SCARCE_SHARE_RATIO = 0.7;

/** Minimum retry delay suggested to refused callers; also the delay between requests to a home. */
export const MIN_RETRY_AFTER_MS = 50;

/** Maximum retry delay suggested to refused callers. */
export const MAX_RETRY_AFTER_MS = 60_000;

/** Retry delay suggested if a request can start only after a running one has ended. */
export const BUSY_RETRY_AFTER_MS = 1_000;

/** Maximum number of accounts in one message to a home and in its response. */
export const MAX_DEMANDS_PER_MESSAGE = 1_000;

/** Default values of all options. */
export const DEFAULT_ACCOUNT_LIMIT_OPTIONS: types.AccountLimitOptions = {
  refreshMs: 1_000,
  ampleShareRefreshMs: 5_000,
  callTimeoutMs: 800,
  shareTtlMs: 15_000,
  warmUpMs: 1_500,
  warmUpPerDoublingMs: 500,
  idleMs: 30_000,
  deadShareHoldMs: 60_000,
  maxShareWaitMs: 4_000,
};

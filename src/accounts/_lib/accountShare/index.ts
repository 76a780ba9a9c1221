import type * as types from "../../types.js";

/** Names of the parts of a share. */
export const SHARE_FIELDS = [
  "requestsPerSecond",
  "concurrentRequests",
  "tokensPerSecond",
] as const satisfies readonly (keyof types.AccountShare)[];

/** One part of a share. */
export type ShareField = (typeof SHARE_FIELDS)[number];

/** The share of a VM that holds nothing. */
export const EMPTY_SHARE: types.AccountShare = {
  requestsPerSecond: 0,
  concurrentRequests: 0,
  tokensPerSecond: 0,
};

/** Makes a share of a value per field. */
export function shareOf(valueOf: (field: ShareField) => number): types.AccountShare {
  return {
    requestsPerSecond: valueOf("requestsPerSecond"),
    concurrentRequests: valueOf("concurrentRequests"),
    tokensPerSecond: valueOf("tokensPerSecond"),
  };
}

/** The larger of two shares, field by field. */
export function maxShare(left: types.AccountShare, right: types.AccountShare): types.AccountShare {
  return shareOf((field) => Math.max(left[field], right[field]));
}

/** The sum of shares, field by field. */
export function sumShares(shares: readonly types.AccountShare[]): types.AccountShare {
  return shareOf((field) => shares.reduce((sum, share) => sum + share[field], 0));
}

import type * as types from "../../types.js";

/** Names of the fields of a share. */
export const SHARE_FIELDS = [
  "requestsPerSecond",
  "concurrentRequests",
  "tokensPerSecond",
] as const satisfies readonly (keyof types.AccountShare)[];

/** Name of one field of a share. */
export type ShareField = (typeof SHARE_FIELDS)[number];

/** The share of a VM that has not been granted anything. */
export const EMPTY_SHARE: types.AccountShare = {
  requestsPerSecond: 0,
  concurrentRequests: 0,
  tokensPerSecond: 0,
};

/** Creates a share from a function that returns the value of each field. */
export function createShare(valueOf: (field: ShareField) => number): types.AccountShare {
  return {
    requestsPerSecond: valueOf("requestsPerSecond"),
    concurrentRequests: valueOf("concurrentRequests"),
    tokensPerSecond: valueOf("tokensPerSecond"),
  };
}

/** Returns the maximum of two shares, field by field. */
export function maxShare(left: types.AccountShare, right: types.AccountShare): types.AccountShare {
  return createShare((field) => Math.max(left[field], right[field]));
}

/** Returns the sum of shares, field by field. */
export function sumShares(shares: readonly types.AccountShare[]): types.AccountShare {
  return createShare((field) => shares.reduce((sum, share) => sum + share[field], 0));
}

import type * as neverthrow from "neverthrow";

import type * as stepError from "../_lib/stepError/index.js";
import type * as catalogue from "../catalogue/types.js";

/** One of an account's concurrent request slots; disposing of it frees the slot. */
export interface AccountPermit extends Disposable {
  /** Counts tokens against the account's token rate, also beyond it. */
  spendTokens(count: number): void;
}

/** Enforces the limits of client accounts; the interface that the HTTP port uses. */
export interface AccountLimiter {
  /** Waits until this VM has a usable share of the account, or `maxShareWaitMs` have passed. */
  waitForShare(account: catalogue.ClientAccount): Promise<void>;
  /** Admits a request within this VM's share, or refuses it with `limit-exceeded`. */
  admit(account: catalogue.ClientAccount): neverthrow.Result<AccountPermit, stepError.StepError>;
}

/** The part of an account's limits that one VM may use. */
export interface AccountShare {
  readonly requestsPerSecond: number;
  readonly concurrentRequests: number;
  readonly tokensPerSecond: number;
}

/**
 * Options of the division of account limits among VMs. An account's home is the VM that divides its
 * limits.
 */
export interface AccountLimitOptions {
  /** Interval at which a VM requests its share from the home while the share is scarce. */
  readonly refreshMs: number;
  /** Interval at which a VM requests its share while the share is not scarce. */
  readonly ampleShareRefreshMs: number;
  /** Timeout of a request to the home. */
  readonly callTimeoutMs: number;
  /** Time without a request to the home after which a reachable VM's share expires. */
  readonly shareTtlMs: number;
  /** How long a new home raises no shares, so that all VMs can report theirs first. */
  readonly warmUpMs: number;
  /** Addition to `warmUpMs` for each doubling of the number of VMs. */
  readonly warmUpPerDoublingMs: number;
  /** Time without callers' requests after which a VM removes its state of an account. */
  readonly idleMs: number;
  /** How long a dead VM counts as one that may use a share, because it may only be partitioned. */
  readonly deadShareHoldMs: number;
  /** Maximum time for which a request waits for its VM's first share of the account. */
  readonly maxShareWaitMs: number;
}

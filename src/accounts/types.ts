import type * as neverthrow from "neverthrow";

import type * as stepError from "../_lib/stepError/index.js";
import type * as catalogue from "../catalogue/types.js";

/** A place among an account's concurrent requests; disposing of it gives the place back. */
export interface AccountPermit extends Disposable {
  /** Counts tokens against the account's rate. */
  spendTokens(count: number): void;
}

/** Limits per client account as the HTTP port uses them. */
export interface AccountLimiter {
  /** Waits until this VM may judge the account, for a short time at most. */
  prepare(account: catalogue.ClientAccount): Promise<void>;
  admit(account: catalogue.ClientAccount): neverthrow.Result<AccountPermit, stepError.StepError>;
}

/** A part of an account's limits that one VM may use. */
export interface AccountShare {
  readonly requestsPerSecond: number;
  readonly concurrentRequests: number;
  readonly tokensPerSecond: number;
}

/** How limits are shared among VMs. */
export interface AccountLimitOptions {
  /** Interval at which a VM that may soon need more asks the account's home for its share. */
  readonly refreshMs: number;
  /** The same where the share is ample. */
  readonly steadyRefreshMs: number;
  /** Time the home has to answer. */
  readonly callTimeoutMs: number;
  /** A holder that its home has not heard of for this time has given its share back. */
  readonly shareTtlMs: number;
  /** How long a new home only confirms shares, before it has heard all who hold one. */
  readonly warmUpMs: number;
  readonly warmUpPerDoublingMs: number;
  /** An account without requests for this time costs nothing any more. */
  readonly idleMs: number;
  /** Dead VMs count among those that may still use a share for this time. */
  readonly deadShareHoldMs: number;
  /** The longest time a request waits for the account's first share on its VM. */
  readonly maxPrepareMs: number;
}

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
  admit(account: catalogue.ClientAccount): neverthrow.Result<AccountPermit, stepError.StepError>;
}

import type * as neverthrow from "neverthrow";

import type * as stepError from "../_lib/stepError/index.js";
import type * as backends from "../backends/types.js";
import type * as catalogue from "../catalogue/types.js";

/** A caller's call to a plain service. */
export interface CallRequest {
  readonly requestId: string;
  readonly entry: catalogue.CallEntry;
  readonly accountName: string;
  readonly idempotencyKey: string | null;
  readonly contentType: string;
  readonly body: Uint8Array;
  readonly deadlineAtWallMs: number;
}

/** Calls as the HTTP port uses them. */
export interface CallService {
  call(
    request: CallRequest,
  ): Promise<neverthrow.Result<backends.ServiceAnswer, stepError.StepError>>;
}

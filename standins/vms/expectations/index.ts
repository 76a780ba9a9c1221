import type { Test } from "tap";

import * as callers from "../caller/index.js";

/** Checks that a caller received the complete answer, each token once, in order and from one sampling. */
export function expectCompleteAnswer(t: Test, caller: callers.Caller, tokensCount = 100): void {
  t.equal(caller.refusal?.message, undefined);
  t.equal(caller.error?.message, undefined);
  t.equal(caller.tokens.length, tokensCount);
  t.equal(caller.offsetMismatchesCount, 0);
  t.ok(callers.isSingleSampling(caller.tokens), "one sampling, each token once and in order");
  t.equal(caller.finishReason, "stop");
}

import tap from "tap";

import * as dispatch from "../index.js";

tap.test("the remaining output is the expected length less the produced tokens", async (t) => {
  t.equal(dispatch.estimateRemainingOutput(1_000, 200), 800);
});

tap.test(
  "an output longer than expected has a remaining output in proportion to its length",
  async (t) => {
    const remainingTokens = dispatch.estimateRemainingOutput(1_000, 2_000);
    t.ok(remainingTokens > 0 && remainingTokens < 2_000);
    t.ok(dispatch.estimateRemainingOutput(1_000, 4_000) > remainingTokens);
  },
);

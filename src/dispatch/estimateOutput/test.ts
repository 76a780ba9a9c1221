import tap from "tap";

import * as dispatch from "../index.js";

tap.test("the rest is what was expected less what is there", async (t) => {
  t.equal(dispatch.estimateRest(1_000, 200), 800);
});

tap.test(
  "an output longer than expected is expected to go on for a share of its length",
  async (t) => {
    const restTokens = dispatch.estimateRest(1_000, 2_000);
    t.ok(restTokens > 0 && restTokens < 2_000);
    t.ok(dispatch.estimateRest(1_000, 4_000) > restTokens);
  },
);

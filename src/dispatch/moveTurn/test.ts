import tap from "tap";

import * as constants from "../constants.js";
import * as dispatch from "../index.js";

const RUN_TOKENS = 3_500;
const RUN_MS = RUN_TOKENS / constants.MOVE_TOKENS_PER_MS;

function runs(...requestIds: readonly string[]): readonly dispatch.MovingRun[] {
  return requestIds.map((requestId) => ({ requestId, usedTokens: RUN_TOKENS }));
}

tap.test("each run has one turn, and all VMs see the same order", async (t) => {
  const inOneOrder = runs("a", "b", "c");
  const inAnother = runs("c", "a", "b");
  for (const [requestId, aheadCount] of [
    ["a", 0],
    ["b", 1],
    ["c", 2],
  ] as const) {
    t.equal(dispatch.runsAhead(inOneOrder, requestId).length, aheadCount);
    t.equal(dispatch.runsAhead(inAnother, requestId).length, aheadCount);
  }
});

tap.test("a run waits until those ahead are through", async (t) => {
  t.equal(dispatch.longestTurnWaitMs([], RUN_TOKENS), 0);
  const waitMs = dispatch.longestTurnWaitMs(runs("a", "b"), RUN_TOKENS);
  t.ok(waitMs >= 2 * RUN_MS && waitMs < 3 * RUN_MS, `waits ${waitMs} ms`);
});

tap.test("no run waits until the engine may be gone before its copies", async (t) => {
  const many = runs(..."a b c d e f g h i j k l".split(" "));
  const waitMs = dispatch.longestTurnWaitMs(many, RUN_TOKENS);
  t.ok(waitMs + RUN_MS <= constants.LAST_COPY_LIMIT_MS);
  t.equal(dispatch.longestTurnWaitMs(many, 1_000_000), 0);
});

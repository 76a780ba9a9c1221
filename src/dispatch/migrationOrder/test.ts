import tap from "tap";

import * as dispatch from "../index.js";

const RUN_TOKENS = 3_500;
/** Transfer time of a run between data centres, at half of 24 Gbit/s and 160 KB a token. */
const RUN_MS = RUN_TOKENS / 9.15;

function runs(...requestIds: readonly string[]): readonly dispatch.MigratingRun[] {
  return requestIds.map((requestId) => ({ requestId, usedTokens: RUN_TOKENS }));
}

tap.test("each run has one position in the migration order, the same on all VMs", async (t) => {
  const inOneOrder = runs("a", "b", "c");
  const inAnother = runs("c", "a", "b");
  for (const [requestId, aheadCount] of [
    ["a", 0],
    ["b", 1],
    ["c", 2],
  ] as const) {
    t.equal(dispatch.listPredecessors(inOneOrder, requestId).length, aheadCount);
    t.equal(dispatch.listPredecessors(inAnother, requestId).length, aheadCount);
  }
});

tap.test("a run waits until its predecessors can have been transferred", async (t) => {
  t.equal(dispatch.computeMaxPredecessorWaitMs([]), 0);
  const oneMs = dispatch.computeMaxPredecessorWaitMs(runs("a"));
  t.ok(oneMs >= RUN_MS && oneMs < 2 * RUN_MS, `waits ${oneMs} ms for one predecessor`);
  t.equal(dispatch.computeMaxPredecessorWaitMs(runs("a", "b", "c")), 3 * oneMs);
});

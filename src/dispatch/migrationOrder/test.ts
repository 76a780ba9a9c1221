import tap from "tap";

import * as virtualClocks from "../../_lib/virtualClock/index.js";
import * as fixtures from "../_lib/fixtures/index.js";
import * as dispatch from "../index.js";

const RUN_TOKENS = 3_500;
/** Transfer time of a run between data centres, at half of 24 Gbit/s and 160 KB a token. */
const RUN_MS = RUN_TOKENS / 9.15;

function runs(...requestIds: readonly string[]): readonly dispatch.MigratingRun[] {
  return requestIds.map((requestId) => ({
    requestId,
    promptTokens: RUN_TOKENS,
    usedTokens: RUN_TOKENS,
  }));
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

tap.test("the smallest runs migrate first, so that most streams are saved", async (t) => {
  const run = (requestId: string, promptTokens: number): dispatch.MigratingRun => {
    return { requestId, promptTokens, usedTokens: promptTokens + 400 };
  };
  const leaving = [run("a", 6_000), run("b", 2_000), run("c", 3_000)];
  const ahead = (id: string): readonly string[] =>
    dispatch.listPredecessors(leaving, id).map(({ requestId }) => requestId);
  t.same([ahead("b"), ahead("c"), ahead("a")], [[], ["b"], ["b", "c"]]);
});

tap.test("a run waits no longer than leaves time for its own transfer", async (t) => {
  const tokensPerMs = dispatch.estimateTransferRate((2_700 * 125) / 18_432);
  const latestMs = dispatch.computeLatestTransferMs(RUN_TOKENS, tokensPerMs);
  const transferMs = (2 * RUN_TOKENS) / tokensPerMs;
  t.ok(latestMs + transferMs <= 1_500, "complete within the shortest notice, between data centres");
  t.ok(latestMs > 0);
  t.equal(dispatch.computeLatestTransferMs(100_000, tokensPerMs), 0);
});

tap.test("runs that end soon or have a backup are not waited for", async (t) => {
  const claims = new dispatch.ClaimTable(new virtualClocks.VirtualClock());
  const running = { hasFirstEvent: true, unreadTokens: 0 };
  claims.put(fixtures.claim({ ...running, requestId: "long" }));
  claims.put(fixtures.claim({ ...running, requestId: "short", expectedOutputTokens: 12 }));
  claims.put(fixtures.claim({ ...running, requestId: "kept" }));
  const backup = { role: dispatch.ClaimRole.Backup, serverId: "e2" };
  claims.put(fixtures.claim({ ...running, ...backup, requestId: "kept" }));
  claims.put(fixtures.claim({ requestId: "unread" }));
  const ids = dispatch.listMigratingRuns(claims, "e1").map(({ requestId }) => requestId);
  t.same(ids, ["long"]);
});

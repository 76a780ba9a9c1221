import tap from "tap";

import * as fixtures from "../_lib/fixtures/index.js";
import * as dispatch from "../index.js";

const { waiting } = fixtures;

function order(items: readonly dispatch.WaitingGeneration[], nowMs: number): readonly string[] {
  return dispatch.orderWaiting(items, nowMs).map(({ requestId }) => requestId);
}

tap.test("a more urgent priority is served first, even when it is late", async (t) => {
  const items = [
    waiting({ requestId: "draft" }),
    waiting({ requestId: "classify", priority: 0, objectiveAtWallMs: 10 }),
  ];
  t.same(order(items, 100), ["classify", "draft"]);
});

tap.test(
  "within a priority, generations that can meet their objective precede late ones",
  async (t) => {
    const items = [
      waiting({ requestId: "late", objectiveAtWallMs: 50 }),
      waiting({ requestId: "tight", objectiveAtWallMs: 200 }),
      waiting({ requestId: "easy", objectiveAtWallMs: 900 }),
    ];
    t.same(order(items, 100), ["tight", "easy", "late"]);
  },
);

tap.test("among late generations, the longest waiting is served first", async (t) => {
  const items = [
    waiting({ requestId: "second", enqueuedAtWallMs: 5, objectiveAtWallMs: 20 }),
    waiting({ requestId: "first", enqueuedAtWallMs: 1, objectiveAtWallMs: 30 }),
  ];
  t.same(order(items, 100), ["first", "second"]);
});

tap.test("a generation can be bypassed only for a bounded time", async (t) => {
  t.ok(dispatch.canBeBypassed(waiting({ requestId: "r", enqueuedAtWallMs: 0 }), 100));
  t.notOk(dispatch.canBeBypassed(waiting({ requestId: "r", enqueuedAtWallMs: 0 }), 10_000));
});

tap.test("the order does not depend on the order of arrival", async (t) => {
  const items = ["c", "a", "b"].map((requestId) => waiting({ requestId }));
  t.same(order(items, 0), ["a", "b", "c"]);
  t.same(order([...items].reverse(), 0), ["a", "b", "c"]);
});

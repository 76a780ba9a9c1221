import tap from "tap";

import * as fixtures from "../_lib/fixtures/index.js";
import * as dispatch from "../index.js";

const { waiting } = fixtures;

function order(items: readonly dispatch.WaitingGeneration[], nowMs: number): readonly string[] {
  return dispatch.orderWaiting(items, nowMs).map(({ requestId }) => requestId);
}

tap.test("the more urgent go first, even when they are late", async (t) => {
  const items = [
    waiting({ requestId: "draft" }),
    waiting({ requestId: "classify", priority: 0, objectiveAtWallMs: 10 }),
  ];
  t.same(order(items, 100), ["classify", "draft"]);
});

tap.test("among equals, who can still be on time goes before who is late", async (t) => {
  const items = [
    waiting({ requestId: "late", objectiveAtWallMs: 50 }),
    waiting({ requestId: "tight", objectiveAtWallMs: 200 }),
    waiting({ requestId: "easy", objectiveAtWallMs: 900 }),
  ];
  t.same(order(items, 100), ["tight", "easy", "late"]);
});

tap.test("among the late, who waits longest goes first", async (t) => {
  const items = [
    waiting({ requestId: "second", enqueuedAtWallMs: 5, objectiveAtWallMs: 20 }),
    waiting({ requestId: "first", enqueuedAtWallMs: 1, objectiveAtWallMs: 30 }),
  ];
  t.same(order(items, 100), ["first", "second"]);
});

tap.test("a large one is overtaken for a short while only", async (t) => {
  t.ok(dispatch.mayBeOvertaken(waiting({ requestId: "r", enqueuedAtWallMs: 0 }), 100));
  t.notOk(dispatch.mayBeOvertaken(waiting({ requestId: "r", enqueuedAtWallMs: 0 }), 10_000));
});

tap.test("all VMs order alike, whatever they learn first", async (t) => {
  const items = ["c", "a", "b"].map((requestId) => waiting({ requestId }));
  t.same(order(items, 0), ["a", "b", "c"]);
  t.same(order([...items].reverse(), 0), ["a", "b", "c"]);
});

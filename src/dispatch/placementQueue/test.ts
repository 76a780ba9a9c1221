import tap from "tap";

import * as dispatch from "../index.js";

function waiting(
  requestId: string,
  overrides: Partial<dispatch.WaitingGeneration> = {},
): dispatch.WaitingGeneration {
  return {
    requestId,
    priority: 1,
    neededTokens: 3_000,
    enqueuedAtMs: 0,
    objectiveAtMs: 1_800,
    ...overrides,
  };
}

function order(items: readonly dispatch.WaitingGeneration[], nowMs: number): readonly string[] {
  return dispatch.orderWaiting(items, nowMs).map(({ requestId }) => requestId);
}

tap.test("the more urgent go first, even when they are late", async (t) => {
  const items = [waiting("draft"), waiting("classify", { priority: 0, objectiveAtMs: 10 })];
  t.same(order(items, 100), ["classify", "draft"]);
});

tap.test("among equals, who can still be on time goes before who is late", async (t) => {
  const items = [
    waiting("late", { objectiveAtMs: 50 }),
    waiting("tight", { objectiveAtMs: 200 }),
    waiting("easy", { objectiveAtMs: 900 }),
  ];
  t.same(order(items, 100), ["tight", "easy", "late"]);
});

tap.test("among the late, who waits longest goes first", async (t) => {
  const items = [
    waiting("second", { enqueuedAtMs: 5, objectiveAtMs: 20 }),
    waiting("first", { enqueuedAtMs: 1, objectiveAtMs: 30 }),
  ];
  t.same(order(items, 100), ["first", "second"]);
});

tap.test("a large one is overtaken for a short while only", async (t) => {
  t.ok(dispatch.mayBeOvertaken(waiting("r", { enqueuedAtMs: 0 }), 100));
  t.notOk(dispatch.mayBeOvertaken(waiting("r", { enqueuedAtMs: 0 }), 10_000));
});

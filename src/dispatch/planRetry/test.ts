import tap from "tap";

import * as dispatch from "../index.js";

const { AttemptFailure } = dispatch;

/** A lookup that both servers that it may use have failed within 60 ms, with most of 3 s left. */
const FAILED_TWICE: dispatch.RetryState = {
  failure: AttemptFailure.Failed,
  sendsCount: 2,
  pausesCount: 0,
  canUseNewServer: false,
  hasSoundServer: true,
  timeGivenMs: 3_000,
  timeLeftMs: 2_940,
  objectiveLeftMs: 240,
  callMs: 30,
};

tap.test("a call that a server failed is repeated at once where another may run it", async (t) => {
  const plan = dispatch.planRetry({ ...FAILED_TWICE, sendsCount: 1, canUseNewServer: true });
  t.match(plan, { delayMs: 0, usesBudget: true, isSpare: false });
});

tap.test("one that all its servers failed is sent again with growing pauses", async (t) => {
  let state = FAILED_TWICE;
  const delaysMs: number[] = [];
  for (let plan = dispatch.planRetry(state); plan !== null; plan = dispatch.planRetry(state)) {
    t.ok(plan.usesBudget && plan.isSpare, "it leaves the reserved part of the budget");
    delaysMs.push(plan.delayMs);
    state = {
      ...state,
      sendsCount: state.sendsCount + 1,
      pausesCount: state.pausesCount + 1,
      timeLeftMs: state.timeLeftMs - plan.delayMs - state.callMs,
    };
  }
  t.ok(delaysMs.length >= 3, `${delaysMs.length} further tries`);
  t.same(
    delaysMs,
    [...delaysMs].sort((left, right) => left - right),
  );
  t.ok(state.timeLeftMs >= state.timeGivenMs / 2, "the caller can still retry");
});

tap.test("no later try is made at servers that fail most calls, or too late", async (t) => {
  t.equal(dispatch.planRetry({ ...FAILED_TWICE, hasSoundServer: false }), null);
  t.equal(dispatch.planRetry({ ...FAILED_TWICE, timeLeftMs: 1_500 }), null);
});

tap.test(
  "a rejected call goes to the next server at once while it can meet its objective",
  async (t) => {
    const rejected = { ...FAILED_TWICE, failure: AttemptFailure.Rejected, sendsCount: 4 };
    t.match(dispatch.planRetry(rejected), { delayMs: 0, usesBudget: true });
    t.equal(dispatch.planRetry({ ...rejected, objectiveLeftMs: 20 }), null);
    t.equal(dispatch.planRetry({ ...rejected, sendsCount: 5 }), null);
  },
);

tap.test("a call that did not leave the VM does not use the budget", async (t) => {
  const notSent = { ...FAILED_TWICE, failure: AttemptFailure.NotSent };
  t.match(dispatch.planRetry(notSent), { delayMs: 0, usesBudget: false });
  t.equal(dispatch.planRetry({ ...notSent, sendsCount: 5 }), null);
});

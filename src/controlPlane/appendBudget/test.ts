import tap from "tap";

import * as virtualClock from "../../_lib/virtualClock/index.js";
import * as appendBudget from "./index.js";

const { AppendPriority } = appendBudget;

function takeAll(budget: appendBudget.AppendBudget, priority: appendBudget.AppendPriority): number {
  let count = 0;
  while (budget.tryTake(priority)) count += 1;
  return count;
}

tap.test(
  "under full demand all VMs together use the fleet's rate and do not exceed it",
  async (t) => {
    const clock = new virtualClock.VirtualClock();
    const budgets = Array.from({ length: 8 }, () => new appendBudget.AppendBudget(clock, () => 8));
    let takenCount = 0;
    for (let second = 0; second < 60; second += 1) {
      for (const budget of budgets) takenCount += takeAll(budget, AppendPriority.Call);
      clock.advanceToMs((second + 1) * 1_000);
    }
    const fleetShare = 300 * 0.4;
    t.ok(takenCount <= fleetShare * (60 + 2), `${takenCount} appends`);
    t.ok(takenCount >= fleetShare * 50, `${takenCount} appends`);
  },
);

tap.test("an operator's append is allowed at once and charged to the VM's budget", async (t) => {
  const clock = new virtualClock.VirtualClock();
  const budget = new appendBudget.AppendBudget(clock, () => 8);
  takeAll(budget, AppendPriority.Control);
  t.ok(budget.tryTake(AppendPriority.Operator));
  t.equal(budget.waitMs(AppendPriority.Operator), 0);
  clock.advanceToMs(70);
  t.notOk(
    budget.tryTake(AppendPriority.Control),
    "one append was earned, and the operator's append used it",
  );
});

tap.test("appends of calls leave a reserve for leases and snapshots", async (t) => {
  const budget = new appendBudget.AppendBudget(new virtualClock.VirtualClock(), () => 8);
  takeAll(budget, AppendPriority.Call);
  t.ok(budget.tryTake(AppendPriority.Control));
});

tap.test("after a refusal by the log all but operators' appends are delayed", async (t) => {
  const clock = new virtualClock.VirtualClock();
  const budget = new appendBudget.AppendBudget(clock, () => 1);
  budget.onRefused(500);
  t.notOk(budget.tryTake(AppendPriority.Control));
  t.ok(budget.tryTake(AppendPriority.Operator));
  clock.advanceToMs(500);
  t.ok(budget.tryTake(AppendPriority.Control));
});

tap.test("a waiting append is allowed as soon as the rate permits", async (t) => {
  const clock = new virtualClock.VirtualClock();
  const budget = new appendBudget.AppendBudget(clock, () => 120);
  takeAll(budget, AppendPriority.Control);
  let isTaken = false;
  const waiting = budget.take(AppendPriority.Control).then(() => (isTaken = true));
  await clock.runForMs(990);
  t.notOk(isTaken);
  await clock.runForMs(20);
  await waiting;
  t.ok(isTaken);
});

import * as fastCheck from "fast-check";
import tap from "tap";

import * as virtualClocks from "../../_lib/virtualClock/index.js";
import * as relay from "../index.js";

const OPTIONS: relay.RetryBudgetOptions = { ratio: 0.2, slackCount: 54, windowMs: 10_000 };

tap.test("a VM spends its own calls' ratio and its part of the fixed allowance", async (t) => {
  const clock = new virtualClocks.VirtualClock();
  const budget = new relay.RetryBudget(clock, OPTIONS, () => 6);
  for (let index = 0; index < 100; index += 1) budget.noteCall("s");
  let takenCount = 0;
  while (budget.tryTake("s")) takenCount += 1;
  t.ok(takenCount > 15 && takenCount <= 0.2 * 100 + 54 / 6);
  t.notOk(budget.tryTake("s"));
  t.ok(budget.tryTake("other"), "services have budgets of their own");
});

tap.test("what was spent comes back as the window moves on", async (t) => {
  const clock = new virtualClocks.VirtualClock();
  const budget = new relay.RetryBudget(clock, OPTIONS, () => 6);
  while (budget.tryTake("s"));
  t.notOk(budget.tryTake("s"));
  await clock.runForMs(11_000);
  t.ok(budget.tryTake("s"));
});

tap.test("histories: all VMs together never overspend any window of the fleet", async () => {
  const step = fastCheck.record({
    vm: fastCheck.integer({ min: 0, max: 3 }),
    isCall: fastCheck.boolean(),
    waitMs: fastCheck.integer({ min: 0, max: 400 }),
  });
  await fastCheck.assert(
    fastCheck.asyncProperty(fastCheck.array(step, { maxLength: 250 }), async (steps) => {
      const clock = new virtualClocks.VirtualClock();
      const budgets = Array.from(
        { length: 4 },
        () => new relay.RetryBudget(clock, OPTIONS, () => 4),
      );
      const calls: number[] = [];
      const repeats: number[] = [];
      for (const { vm, isCall, waitMs } of steps) {
        const budget = budgets[vm];
        if (isCall) {
          budget?.noteCall("s");
          calls.push(clock.nowMs());
        } else if (budget?.tryTake("s") === true) repeats.push(clock.nowMs());
        await clock.runForMs(waitMs);
      }
      return repeats.every((endMs) => isWithinBudget(calls, repeats, endMs));
    }),
    { seed: 17, numRuns: 150 },
  );
});

/** Calls count in the window itself or in the one before it, whichever has more. */
function isWithinBudget(
  calls: readonly number[],
  repeats: readonly number[],
  endMs: number,
): boolean {
  const { windowMs, ratio, slackCount } = OPTIONS;
  const countIn = (times: readonly number[], toMs: number): number =>
    times.filter((timeMs) => timeMs > toMs - windowMs && timeMs <= toMs).length;
  const callsCount = Math.max(countIn(calls, endMs), countIn(calls, endMs - windowMs));
  return countIn(repeats, endMs) <= ratio * callsCount + slackCount;
}

import * as fastCheck from "fast-check";
import tap from "tap";

import * as virtualClocks from "../../_lib/virtualClock/index.js";
import * as relay from "../index.js";

const OPTIONS: relay.RetryBudgetOptions = { ratio: 0.2, slackCount: 54, windowMs: 10_000 };

tap.test(
  "a VM may use the ratio of its own calls plus its share of the fixed allowance",
  async (t) => {
    const clock = new virtualClocks.VirtualClock();
    const budget = new relay.RetryBudget(clock, OPTIONS, () => 6);
    for (let index = 0; index < 100; index += 1) budget.recordCall("s");
    let consumedCount = 0;
    while (budget.tryConsume("s")) consumedCount += 1;
    t.ok(consumedCount > 15 && consumedCount <= 0.2 * 100 + 54 / 6);
    t.notOk(budget.tryConsume("s"));
    t.ok(budget.tryConsume("other"), "each service has its own budget");
  },
);

tap.test(
  "consumed retries become available again when they leave the sliding window",
  async (t) => {
    const clock = new virtualClocks.VirtualClock();
    const budget = new relay.RetryBudget(clock, OPTIONS, () => 6);
    while (budget.tryConsume("s"));
    t.notOk(budget.tryConsume("s"));
    await clock.runForMs(11_000);
    t.ok(budget.tryConsume("s"));
  },
);

tap.test("later tries and hedges leave a part to retries at once after a failure", async (t) => {
  const budget = new relay.RetryBudget(new virtualClocks.VirtualClock(), OPTIONS, () => 6);
  for (let index = 0; index < 100; index += 1) budget.recordCall("s");
  while (budget.tryConsume("s", true));
  let consumedCount = 0;
  while (budget.tryConsume("s")) consumedCount += 1;
  t.ok(consumedCount >= 8, `${consumedCount} left of some 20`);
  t.notOk(budget.tryConsume("s", true));
});

tap.test(
  "random histories: all VMs together stay within the fleet's budget in every window",
  async () => {
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
        const retries: number[] = [];
        for (const { vm, isCall, waitMs } of steps) {
          const budget = budgets[vm];
          if (isCall) {
            budget?.recordCall("s");
            calls.push(clock.nowMs());
          } else if (budget?.tryConsume("s") === true) retries.push(clock.nowMs());
          await clock.runForMs(waitMs);
        }
        return retries.every((endMs) => isWithinBudget(calls, retries, endMs));
      }),
      { seed: 17, numRuns: 150 },
    );
  },
);

/** Checks one window against the larger call count of that window and the preceding one. */
function isWithinBudget(
  calls: readonly number[],
  retries: readonly number[],
  endMs: number,
): boolean {
  const { windowMs, ratio, slackCount } = OPTIONS;
  const countIn = (times: readonly number[], toMs: number): number =>
    times.filter((timeMs) => timeMs > toMs - windowMs && timeMs <= toMs).length;
  const callsCount = Math.max(countIn(calls, endMs), countIn(calls, endMs - windowMs));
  return countIn(retries, endMs) <= ratio * callsCount + slackCount;
}

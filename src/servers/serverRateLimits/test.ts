import * as fastCheck from "fast-check";
import tap from "tap";

import * as virtualClocks from "../../_lib/virtualClock/index.js";
import * as servers from "../index.js";

/** Window over which the platform counts a limited server's requests. */
const WINDOW_MS = 4_000;

const STEP_MS = 10;

/** Most requests that the platform allows in a window. */
function allowedCount(ratePerSecond: number): number {
  return (1.5 * ratePerSecond * WINDOW_MS) / 1_000 + 5;
}

function createVms(
  clock: virtualClocks.VirtualClock,
  vmsCount: number,
): servers.ServerRateLimits[] {
  return Array.from({ length: vmsCount }, (_, rank) => {
    return new servers.ServerRateLimits(clock, () => ({ rank, vmsCount }));
  });
}

/** Sends whenever a VM may, for a duration; returns the times of the requests. */
async function sendEagerly(
  clock: virtualClocks.VirtualClock,
  vms: readonly servers.ServerRateLimits[],
  durationMs: number,
): Promise<readonly number[]> {
  const sentAtMs: number[] = [];
  for (const endMs = clock.nowMs() + durationMs; clock.nowMs() < endMs;) {
    for (const vm of vms) {
      if (vm.delayMs("s") > 0) continue;
      vm.reserve("s");
      sentAtMs.push(clock.nowMs());
    }
    await clock.runForMs(STEP_MS);
  }
  return sentAtMs;
}

function maxInWindow(sentAtMs: readonly number[]): number {
  const counts = sentAtMs.map((fromMs) => {
    return sentAtMs.filter((atMs) => atMs >= fromMs && atMs < fromMs + WINDOW_MS).length;
  });
  return Math.max(0, ...counts);
}

tap.test("VMs that all press on a limited server stay within its rate, however many", async () => {
  await fastCheck.assert(
    fastCheck.asyncProperty(
      fastCheck.integer({ min: 1, max: 120 }),
      fastCheck.double({ min: 0.3, max: 60, noNaN: true }),
      async (vmsCount, ratePerSecond) => {
        const clock = new virtualClocks.VirtualClock();
        const vms = createVms(clock, vmsCount);
        for (const vm of vms) vm.record("s", ratePerSecond);
        const sentAtMs = await sendEagerly(clock, vms, 3 * WINDOW_MS);
        const sentPerSecond = (sentAtMs.length * 1_000) / (3 * WINDOW_MS);
        const isUsed = sentPerSecond >= Math.min(0.8 * ratePerSecond, vmsCount * 0.8);
        return maxInWindow(sentAtMs) <= allowedCount(ratePerSecond) && isUsed;
      },
    ),
    { seed: 9, numRuns: 60 },
  );
});

tap.test("a call that is due later takes the slot after the ones before it", async (t) => {
  const clock = new virtualClocks.VirtualClock();
  const [vm] = createVms(clock, 1) as [servers.ServerRateLimits];
  t.equal(vm.delayMs("s"), 0);
  vm.record("s", 2);
  vm.reserve("s");
  vm.reserve("s");
  t.equal(vm.delayMs("s"), 1_000);
  await clock.runForMs(400);
  t.equal(vm.delayMs("s"), 600);
});

tap.test("a VM without a share sends nothing until the server ends its limit", async (t) => {
  const clock = new virtualClocks.VirtualClock();
  const [first, second] = createVms(clock, 2) as [
    servers.ServerRateLimits,
    servers.ServerRateLimits,
  ];
  first.record("s", 1);
  for (const statement of first.listOwnStatements()) second.recordPeerStatement(statement);
  t.equal(second.delayMs("s"), Infinity);
  await clock.runForMs(500);
  t.ok(first.record("s", null));
  for (const statement of first.listOwnStatements()) second.recordPeerStatement(statement);
  t.equal(second.delayMs("s"), 0);
});

tap.test("an older statement of a peer does not replace a later one", async (t) => {
  const clock = new virtualClocks.VirtualClock();
  const [vm] = createVms(clock, 1) as [servers.ServerRateLimits];
  await clock.runForMs(5_000);
  vm.record("s", 2);
  vm.recordPeerStatement({ serverId: "s", ratePerSecond: null, ageMs: 100 });
  vm.reserve("s");
  t.equal(vm.delayMs("s"), 500);
  t.same(vm.listOwnStatements(), [{ serverId: "s", ratePerSecond: 2, ageMs: 0 }]);
});

tap.test("a rate of zero leaves an occasional request, which shows when it ends", async (t) => {
  const clock = new virtualClocks.VirtualClock();
  const vms = createVms(clock, 20);
  for (const vm of vms) vm.record("s", 0);
  const sentAtMs = await sendEagerly(clock, vms, 5 * WINDOW_MS);
  t.ok(sentAtMs.length > 0);
  t.ok(maxInWindow(sentAtMs) <= allowedCount(0));
});

import * as fastCheck from "fast-check";
import tap from "tap";

import * as virtualClocks from "../../_lib/virtualClock/index.js";
import * as servers from "../index.js";

/** Window over which the platform counts a limited server's requests. */
const WINDOW_MS = 4_000;

const STEP_MS = 10;

const SERVER: servers.ServerStart = { id: "s", bornAtWallMs: 1 };

/** Most requests that the platform allows in a window. */
function allowedCount(ratePerSecond: number): number {
  return (1.5 * ratePerSecond * WINDOW_MS) / 1_000 + 5;
}

function createVms(
  clock: virtualClocks.VirtualClock,
  vmsCount: number,
): servers.ServerBackpressure[] {
  return Array.from({ length: vmsCount }, (_, rank) => {
    return new servers.ServerBackpressure(clock, () => ({ rank, vmsCount }));
  });
}

/** Sends whenever a VM may, for a duration; returns the times of the requests. */
async function sendEagerly(
  clock: virtualClocks.VirtualClock,
  vms: readonly servers.ServerBackpressure[],
  durationMs: number,
): Promise<readonly number[]> {
  const sentAtMs: number[] = [];
  for (const endMs = clock.nowMs() + durationMs; clock.nowMs() < endMs;) {
    for (const vm of vms) {
      if (vm.delayMs(SERVER) > 0) continue;
      vm.reserve(SERVER);
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
        for (const vm of vms) vm.record(SERVER, ratePerSecond);
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
  const [vm] = createVms(clock, 1) as [servers.ServerBackpressure];
  t.equal(vm.delayMs(SERVER), 0);
  vm.record(SERVER, 2);
  vm.reserve(SERVER);
  vm.reserve(SERVER);
  t.equal(vm.delayMs(SERVER), 1_000);
  await clock.runForMs(400);
  t.equal(vm.delayMs(SERVER), 600);
});

tap.test("a VM without a share sends nothing until the server ends its limit", async (t) => {
  const clock = new virtualClocks.VirtualClock();
  const [first, second] = createVms(clock, 2) as [
    servers.ServerBackpressure,
    servers.ServerBackpressure,
  ];
  first.record(SERVER, 1);
  for (const statement of first.listOwnStatements()) second.recordPeerStatement(statement);
  t.equal(second.delayMs(SERVER), Infinity);
  await clock.runForMs(500);
  t.ok(first.record(SERVER, null));
  for (const statement of first.listOwnStatements()) second.recordPeerStatement(statement);
  t.equal(second.delayMs(SERVER), 0);
});

tap.test("an older statement of a peer does not replace a later one", async (t) => {
  const clock = new virtualClocks.VirtualClock();
  const [vm] = createVms(clock, 1) as [servers.ServerBackpressure];
  await clock.runForMs(5_000);
  vm.record(SERVER, 2);
  vm.recordPeerStatement({ serverId: "s", bornAtWallMs: 1, ratePerSecond: null, ageMs: 100 });
  vm.reserve(SERVER);
  t.equal(vm.delayMs(SERVER), 500);
  t.same(vm.listOwnStatements(), [{ serverId: "s", bornAtWallMs: 1, ratePerSecond: 2, ageMs: 0 }]);
});

tap.test("a rate of zero leaves an occasional request, which shows when it ends", async (t) => {
  const clock = new virtualClocks.VirtualClock();
  const vms = createVms(clock, 20);
  for (const vm of vms) vm.record(SERVER, 0);
  const sentAtMs = await sendEagerly(clock, vms, 5 * WINDOW_MS);
  t.ok(sentAtMs.length > 0);
  t.ok(maxInWindow(sentAtMs) <= allowedCount(0));
});

tap.test("a pause ends at its time, and a shorter one does not end a longer one", async (t) => {
  const clock = new virtualClocks.VirtualClock();
  const [vm] = createVms(clock, 1) as [servers.ServerBackpressure];
  vm.pause(SERVER, 2_000);
  vm.pause(SERVER, 500);
  t.equal(vm.delayMs(SERVER), 2_000);
  await clock.runForMs(2_000);
  t.equal(vm.delayMs(SERVER), 0);
});

tap.test("a new start of a server is free of what the former one asked for", async (t) => {
  const clock = new virtualClocks.VirtualClock();
  const [vm] = createVms(clock, 1) as [servers.ServerBackpressure];
  vm.record(SERVER, 0);
  vm.pause(SERVER, 60_000);
  const restarted = { ...SERVER, bornAtWallMs: 2 };
  t.equal(vm.delayMs(restarted), 0);
  vm.record(restarted, 2);
  vm.recordPeerStatement({ serverId: "s", bornAtWallMs: 1, ratePerSecond: 0, ageMs: 0 });
  t.equal(vm.delayMs(restarted), 0, "a peer's statement of the former start is ignored");
});

tap.test("a rate that differs a little from answer to answer still holds", async (t) => {
  const clock = new virtualClocks.VirtualClock();
  const [vm] = createVms(clock, 1) as [servers.ServerBackpressure];
  let sentCount = 0;
  for (let step = 0; step < WINDOW_MS / STEP_MS; step += 1) {
    vm.record(SERVER, step % 2 === 0 ? 4 : 4.1);
    if (vm.delayMs(SERVER) === 0) {
      vm.reserve(SERVER);
      sentCount += 1;
    }
    await clock.runForMs(STEP_MS);
  }
  t.ok(sentCount <= allowedCount(4.1), `${sentCount} requests, allowed ${allowedCount(4.1)}`);
});

import tap from "tap";

import * as virtualClocks from "../../../_lib/virtualClock/index.js";
import * as dispatch from "../../../dispatch/index.js";
import * as testMeshes from "../../_lib/testMesh/index.js";
import * as constants from "../../constants.js";

/** The view may not be older where keys are checked: the time to revoke of 5 s less a margin. */
const MAX_VIEW_AGE_MS = 4_600;

interface Fleet {
  readonly clock: virtualClocks.VirtualClock;
  readonly network: testMeshes.Network;
  readonly vms: readonly testMeshes.Vm[];
}

/** Two larger VMs in each data centre, the others small. */
async function setUp(vmsCount: number): Promise<Fleet> {
  const clock = new virtualClocks.VirtualClock();
  const network = new testMeshes.Network(clock);
  const vms = Array.from({ length: vmsCount }, (_, index) => {
    const dataCentre = `dc-${"abc"[index % 3] ?? ""}`;
    const coresCount = index < 6 ? 2 : 1;
    return new testMeshes.Vm(`vm-${index}`, network, clock, { coresCount, dataCentre });
  });
  for (const vm of vms) {
    for (const { name } of vms) vm.mesh.introduce({ vmName: name, host: name, port: 1 });
  }
  await clock.runForMs(5_000);
  return { clock, network, vms };
}

function claimOf(vmName: string, requestId: string): dispatch.Claim {
  return {
    requestId,
    role: dispatch.ClaimRole.Run,
    vmName,
    serverId: "e1",
    unreadTokens: 100,
    promptTokens: 100,
    expectedOutputTokens: 50,
    producedTokens: 0,
    hasFirstEvent: false,
  };
}

function take(vm: testMeshes.Vm, requestId: string): void {
  const claim = claimOf(vm.name, requestId);
  vm.claims.put(claim);
  vm.mesh.work.put(claim);
}

function runningCounts(vms: readonly testMeshes.Vm[]): readonly number[] {
  return vms.map((vm) => vm.claims.loadOf("e1").runningCount);
}

/** A word goes to a collector, waits there, goes to the others, and may wait there as well. */
const SPREAD_MS = 3 * constants.COLLECT_INTERVAL_MS;

tap.test("claims reach all VMs of a large fleet soon, and end everywhere", async (t) => {
  const { clock, vms } = await setUp(60);
  for (const index of [0, 7, 59]) take(vms[index]!, `r${index}`);
  await clock.runForMs(SPREAD_MS);
  t.ok(runningCounts(vms).every((count) => count === 3));
  vms[7]!.claims.release("r7", dispatch.ClaimRole.Run);
  vms[7]!.mesh.work.release("r7", dispatch.ClaimRole.Run);
  await clock.runForMs(SPREAD_MS);
  t.ok(runningCounts(vms).every((count) => count === 2));
});

tap.test("messages grow with the VMs, not with VMs times work", async (t) => {
  const { clock, network, vms } = await setUp(60);
  const before = network.sentCount;
  await clock.runForMs(4_000);
  const idleCount = network.sentCount - before;
  for (let index = 0; index < 400; index += 1) {
    take(vms[index % vms.length]!, `r${index}`);
    await clock.runForMs(10);
  }
  const busyCount = network.sentCount - before - 2 * idleCount;
  const toldDirectlyCount = 400 * (vms.length - 1);
  t.ok(busyCount < toldDirectlyCount / 3, `${busyCount} of ${toldDirectlyCount} messages`);
});

tap.test("without a collector, claims spread again once it is missed", async (t) => {
  const { clock, network, vms } = await setUp(60);
  network.isolate("vm-0");
  await clock.runForMs(5_000);
  take(vms[3]!, "r1");
  await clock.runForMs(SPREAD_MS);
  const counts = runningCounts(vms.slice(1));
  t.ok(counts.every((count) => count === 1));
});

tap.test("a lost word is made good by the next summary", async (t) => {
  const { clock, network, vms } = await setUp(60);
  network.isolate("vm-0");
  take(vms[3]!, "r1");
  await clock.runForMs(SPREAD_MS);
  t.ok(runningCounts(vms.slice(4)).includes(0), "the collector is gone, and not missed yet");
  await clock.runForMs(10_000);
  t.ok(runningCounts(vms.slice(1)).every((count) => count === 1));
});

tap.test("the word of the store's readers keeps all views fresh", async (t) => {
  const { clock, vms } = await setUp(90);
  for (const vm of vms) vm.confirm(5);
  let oldestMs = 0;
  for (let elapsedMs = 0; elapsedMs < 12_000; elapsedMs += 200) {
    vms[0]!.confirm(5);
    await clock.runForMs(200);
    if (elapsedMs < 4_000) continue;
    oldestMs = Math.max(oldestMs, ...vms.slice(1).map((vm) => vm.configuration.ageMs));
  }
  t.ok(oldestMs < MAX_VIEW_AGE_MS, `${oldestMs} ms`);
});

tap.test("a data centre that is cut off is missed by all within seconds", async (t) => {
  const { clock, network, vms } = await setUp(60);
  for (const vm of vms.filter((_, index) => index % 3 === 2)) network.isolate(vm.name);
  await clock.runForMs(5_000);
  t.ok(vms[0]!.mesh.isSilent("dc-c"));
  t.ok(vms[30]!.mesh.isSilent("dc-c"), "a small VM knows as well");
  t.notOk(vms[30]!.mesh.isSilent("dc-b"));
  t.ok(vms[32]!.mesh.isSilent("dc-a"), "and those that are cut off miss the others");
});

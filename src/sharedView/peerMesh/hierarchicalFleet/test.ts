import tap from "tap";

import * as virtualClocks from "../../../_lib/virtualClock/index.js";
import * as dispatch from "../../../dispatch/index.js";
import * as testMeshes from "../../_lib/testMesh/index.js";
import * as constants from "../../constants.js";

/** Maximum view age for checking API keys: the revocation limit of 5 s less a margin. */
const MAX_VIEW_AGE_MS = 4_600;

interface Fleet {
  readonly clock: virtualClocks.VirtualClock;
  readonly network: testMeshes.Network;
  readonly vms: readonly testMeshes.Vm[];
}

/** Starts a fleet with two larger VMs in each of three data centres. */
async function setUp(vmsCount: number): Promise<Fleet> {
  const clock = new virtualClocks.VirtualClock();
  const network = new testMeshes.Network(clock);
  const vms = Array.from({ length: vmsCount }, (_, index) => {
    const dataCentre = `dc-${"abc"[index % 3] ?? ""}`;
    const coresCount = index < 6 ? 2 : 1;
    return new testMeshes.Vm(`vm-${index}`, network, clock, { coresCount, dataCentre });
  });
  for (const vm of vms) {
    for (const { name } of vms) vm.mesh.addPeerAddress({ vmName: name, host: name, port: 1 });
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

function claimEngine(vm: testMeshes.Vm, requestId: string): void {
  const claim = claimOf(vm.name, requestId);
  vm.claims.put(claim);
  vm.mesh.work.announceClaim(claim);
}

function runningCounts(vms: readonly testMeshes.Vm[]): readonly number[] {
  return vms.map((vm) => vm.claims.computeLoad("e1").runningCount);
}

/** Time for a work update to pass through two aggregators, each of which batches updates. */
const PROPAGATION_MS = 3 * constants.AGGREGATION_INTERVAL_MS;

tap.test(
  "claims and their releases reach all VMs of a large fleet within the aggregation delay",
  async (t) => {
    const { clock, vms } = await setUp(60);
    for (const index of [0, 7, 59]) claimEngine(vms[index]!, `r${index}`);
    await clock.runForMs(PROPAGATION_MS);
    t.ok(runningCounts(vms).every((count) => count === 3));
    vms[7]!.claims.release("r7", dispatch.ClaimRole.Run);
    vms[7]!.mesh.work.announceRelease("r7", dispatch.ClaimRole.Run);
    await clock.runForMs(PROPAGATION_MS);
    t.ok(runningCounts(vms).every((count) => count === 2));
  },
);

tap.test(
  "the number of messages grows with the VMs, not with VMs times work updates",
  async (t) => {
    const { clock, network, vms } = await setUp(60);
    const sentCountBefore = network.sentCount;
    await clock.runForMs(4_000);
    const idleCount = network.sentCount - sentCountBefore;
    for (let index = 0; index < 400; index += 1) {
      claimEngine(vms[index % vms.length]!, `r${index}`);
      await clock.runForMs(10);
    }
    const busyCount = network.sentCount - sentCountBefore - 2 * idleCount;
    const fullMeshCount = 400 * (vms.length - 1);
    t.ok(busyCount < fullMeshCount / 3, `${busyCount} of ${fullMeshCount} messages`);
  },
);

tap.test(
  "once a failed aggregator counts as silent, another one forwards the claims",
  async (t) => {
    const { clock, network, vms } = await setUp(60);
    network.isolate("vm-0");
    await clock.runForMs(5_000);
    claimEngine(vms[3]!, "r1");
    await clock.runForMs(PROPAGATION_MS);
    const counts = runningCounts(vms.slice(1));
    t.ok(counts.every((count) => count === 1));
  },
);

tap.test(
  "a work update lost by a failed aggregator is sent again in the next summary",
  async (t) => {
    const { clock, network, vms } = await setUp(60);
    network.isolate("vm-0");
    claimEngine(vms[3]!, "r1");
    await clock.runForMs(PROPAGATION_MS);
    t.ok(
      runningCounts(vms.slice(4)).includes(0),
      "the failed aggregator does not count as silent yet",
    );
    await clock.runForMs(10_000);
    t.ok(runningCounts(vms.slice(1)).every((count) => count === 1));
  },
);

tap.test("heartbeats of the store's readers keep all views below the maximum age", async (t) => {
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

tap.test("all VMs consider a partitioned data centre silent within 5 s", async (t) => {
  const { clock, network, vms } = await setUp(60);
  for (const vm of vms.filter((_, index) => index % 3 === 2)) network.isolate(vm.name);
  await clock.runForMs(5_000);
  t.ok(vms[0]!.mesh.isDataCentreSilent("dc-c"));
  t.ok(vms[30]!.mesh.isDataCentreSilent("dc-c"), "so does a VM that is no hub");
  t.notOk(vms[30]!.mesh.isDataCentreSilent("dc-b"));
  t.ok(
    vms[32]!.mesh.isDataCentreSilent("dc-a"),
    "VMs in the partitioned data centre consider the others silent",
  );
});

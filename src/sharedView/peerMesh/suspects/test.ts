import tap from "tap";

import * as virtualClocks from "../../../_lib/virtualClock/index.js";
import * as crashes from "../../../crashes/index.js";
import * as testMeshes from "../../_lib/testMesh/index.js";

const REPORT: crashes.SuspectReport = {
  kind: crashes.SuspectKind.PromptPart,
  key: "bad",
  clearedAgeMs: null,
  trialAgeMs: 12,
  ends: [{ serverId: "e1", bornAtWallMs: 1_000, vmName: "a", ageMs: 40, ranMs: 5 }],
};

async function startMesh(vmsCount: number): Promise<{
  readonly clock: virtualClocks.VirtualClock;
  readonly network: testMeshes.Network;
  readonly vms: readonly testMeshes.Vm[];
}> {
  const clock = new virtualClocks.VirtualClock();
  const network = new testMeshes.Network(clock);
  const names = Array.from({ length: vmsCount }, (_, index) => `vm-${index}`);
  const vms = names.map((name) => new testMeshes.Vm(name, network, clock));
  for (const { mesh } of vms) {
    for (const name of names) mesh.addPeerAddress({ vmName: name, host: name, port: 1 });
  }
  await clock.runForMs(1_500);
  return { clock, network, vms };
}

tap.test("what a VM learns of a server's end reaches all VMs at once", async (t) => {
  const { clock, vms } = await startMesh(30);
  vms[0]!.mesh.crashes.announce([REPORT]);
  await clock.runForMs(5);
  for (const { receivedSuspects, name } of vms.slice(1)) t.same(receivedSuspects, [REPORT], name);
});

tap.test("a VM that restarts is told what ends servers", async (t) => {
  const { clock, network, vms } = await startMesh(3);
  vms[0]!.suspects.push(REPORT);
  vms[2]!.mesh[Symbol.dispose]();
  const restarted = new testMeshes.Vm("vm-2", network, clock, { startedAtWallMs: 2 });
  restarted.mesh.addPeerAddress({ vmName: "vm-0", host: "vm-0", port: 1 });
  await clock.runForMs(20);
  t.match(restarted.receivedSuspects, [{ key: "bad" }]);
});

tap.test("a VM that was cut off is told what ends servers when the cut heals", async (t) => {
  const { clock, network, vms } = await startMesh(3);
  network.isolate("vm-2");
  await clock.runForMs(3_000);
  vms[0]!.suspects.push(REPORT);
  vms[0]!.mesh.crashes.announce([REPORT]);
  await clock.runForMs(1_000);
  t.same(vms[2]!.receivedSuspects, []);
  network.heal("vm-2");
  await clock.runForMs(300);
  t.match(vms[2]!.receivedSuspects, [{ key: "bad" }]);
});

tap.test("what a lost message said is told again", async (t) => {
  const { clock, vms } = await startMesh(8);
  vms[0]!.suspects.push(REPORT);
  await clock.runForMs(10_000);
  for (const { receivedSuspects, name } of vms.slice(1)) t.ok(receivedSuspects.length > 0, name);
});

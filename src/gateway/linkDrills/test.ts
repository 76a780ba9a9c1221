import tap, { type Test } from "tap";

import * as serverLinks from "../../serverLinks/index.js";
import * as linkDrills from "../_lib/linkDrill/index.js";

const { LinkCut } = linkDrills;

/** Time from the start of a cut to the first call that has to reach a server. */
const RECOVERY_MS = 1_000;

/** Least share of the calls begun later that have to reach one. */
const MIN_SHARE = 0.95;

const CUT_MS = 4_000;

const FLEETS: readonly linkDrills.LinkDrillOptions[] = [
  { dataCentresCount: 3, vmsPerDataCentre: 10, serversCount: 12 },
  { dataCentresCount: 5, vmsPerDataCentre: 18, serversCount: 38 },
];

/** Starts a fleet, which is stopped when the test ends. */
async function startDrill(
  t: Test,
  options: linkDrills.LinkDrillOptions,
): Promise<linkDrills.LinkDrill> {
  const drill = new linkDrills.LinkDrill(options);
  t.teardown(() => drill.stop());
  await drill.start();
  return drill;
}

function expectReached(
  t: Test,
  drill: linkDrills.LinkDrill,
  vmNames: readonly string[],
  [fromMs, toMs]: readonly [number, number],
): void {
  for (const { name } of linkDrills.CALL_KINDS) {
    const share = drill.shareReached(name, vmNames, fromMs, toMs);
    t.ok(share >= MIN_SHARE, `${name}: ${share.toFixed(3)} reached a server`);
  }
}

/** VMs that are cut off together, by the name of the case. */
const CASES: Readonly<Record<string, (drill: linkDrills.LinkDrill) => readonly string[]>> = {
  "a data centre": (drill) => drill.vmsOf("dc-1"),
  "all data centres but one": (drill) =>
    drill.vmNames.filter((name) => !drill.vmsOf("dc-2").includes(name)),
  "all VMs but one": (drill) => drill.vmNames.slice(1),
};

for (const options of FLEETS) {
  const vmsCount = options.dataCentresCount * options.vmsPerDataCentre;

  for (const [name, selectVms] of Object.entries(CASES)) {
    for (const cut of Object.values(LinkCut)) {
      tap.test(`${vmsCount} VMs: ${name} cut off from all servers (${cut})`, async (t) => {
        const drill = await startDrill(t, options);
        const cutVms = selectVms(drill);
        const cutAtMs = drill.clock.nowMs();
        drill.cut(cutVms, cut);
        await drill.clock.runForMs(CUT_MS);
        drill.heal();
        const healedAtMs = drill.clock.nowMs();
        await drill.clock.runForMs(2_000);
        expectReached(t, drill, cutVms, [cutAtMs + RECOVERY_MS, healedAtMs]);
        t.same(drill.listCutOff(), [], "the links are used again");
        const others = drill.vmNames.filter((vmName) => !cutVms.includes(vmName));
        expectReached(t, drill, others, [cutAtMs, healedAtMs]);
        const max = serverLinks.MAX_SERVED_TUNNELS_COUNT;
        t.ok(drill.maxTunnelsCount <= max, `${drill.maxTunnelsCount} tunnels at one peer`);
        t.comment(`${drill.maxTunnelsCount} tunnels at one peer`);
      });
    }
  }

  tap.test(`${vmsCount} VMs: the VMs of a data centre cut off one after another`, async (t) => {
    const drill = await startDrill(t, options);
    const cutAtMs = new Map<string, number>();
    for (const vmName of drill.vmsOf("dc-0")) {
      drill.cut([vmName], LinkCut.Hangs);
      cutAtMs.set(vmName, drill.clock.nowMs());
      await drill.clock.runForMs(300);
    }
    await drill.clock.runForMs(4_000);
    const endMs = drill.clock.nowMs() - 1_000;
    for (const [vmName, atMs] of cutAtMs)
      expectReached(t, drill, [vmName], [atMs + RECOVERY_MS, endMs]);
  });

  tap.test(`${vmsCount} VMs: the end of all servers is not taken for a cut`, async (t) => {
    const drill = await startDrill(t, options);
    drill.setServersUp(false);
    for (let index = 0; index < 25; index += 1) {
      await drill.clock.runForMs(200);
      if (drill.listCutOff().length > 0) t.same(drill.listCutOff(), []);
    }
    // All heartbeats report failing links by now, so that each search asks few peers and is repeated once a second.
    const fromMs = drill.clock.nowMs() - 2_000;
    const requestsCount = drill.tunnelRequestsAtMs.filter((atMs) => atMs >= fromMs).length;
    const perVmAndSecond = requestsCount / 2 / vmsCount;
    t.ok(perVmAndSecond <= 3, `${perVmAndSecond.toFixed(2)} questions per VM and second`);
    t.comment(
      `${drill.tunnelRequestsAtMs.length} questions in 5 s, ${perVmAndSecond.toFixed(2)} per VM and second at the end`,
    );
    drill.setServersUp(true);
    await drill.clock.runForMs(3_000);
    const nowMs = drill.clock.nowMs();
    expectReached(t, drill, drill.vmNames, [nowMs - 2_000, nowMs - 1_000]);
    t.same(drill.listCutOff(), []);
  });
}

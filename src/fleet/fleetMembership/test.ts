import tap from "tap";

import * as virtualFleet from "../../../standins/fleet/virtualFleet/index.js";
import * as platform from "../../controlPlane/types.js";
import * as findHome from "../findHome/index.js";
import * as types from "../types.js";

const { Live, Suspect, Leaving, Dead } = types.MemberState;
const DATA_CENTRES = ["riga-a", "riga-b", "riga-c"];

async function startedFleet(seed: number): Promise<virtualFleet.VirtualFleet> {
  const fleet = new virtualFleet.VirtualFleet(seed);
  fleet.startMany(3, DATA_CENTRES);
  await fleet.runUntil(() => fleet.isEveryRunningVmLive(), 30_000);
  return fleet;
}

tap.test("VMs that start together discover each other through the platform's list", async (t) => {
  const fleet = new virtualFleet.VirtualFleet(1);
  fleet.startMany(3, DATA_CENTRES);
  t.ok((await fleet.runUntil(() => fleet.isEveryRunningVmLive(), 30_000)) < 10_000);
});

tap.test("a VM counts itself as suspect until another one has answered it", async (t) => {
  const fleet = await startedFleet(2);
  fleet.start("riga-a-9", "riga-a");
  t.equal(fleet.stateAt("riga-a-9", "riga-a-9"), Suspect);
  await fleet.runUntil(() => fleet.isEveryRunningVmLive(), 10_000);
  t.equal(fleet.stateAt("riga-a-9", "riga-a-9"), Live);
});

tap.test("a VM that reaches no other counts itself as live after the join timeout", async (t) => {
  const fleet = new virtualFleet.VirtualFleet(3);
  fleet.list.partitionedDataCentres.add("riga-a");
  fleet.start("riga-a-1", "riga-a");
  await fleet.clock.runForMs(2_000);
  t.equal(fleet.stateAt("riga-a-1", "riga-a-1"), Suspect);
  await fleet.clock.runForMs(2_000);
  t.equal(fleet.stateAt("riga-a-1", "riga-a-1"), Live);
});

tap.test(
  "a VM that fails is suspected, then declared dead, and its engines get another home",
  async (t) => {
    const fleet = await startedFleet(4);
    const members = () => fleet.vms.get("riga-b-1")!.membership.members();
    const engine = ["e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8"].find(
      (name) => findHome.findHome(name, "riga-a", members())?.name === "riga-a-1",
    )!;
    await fleet.kill("riga-a-1");
    const suspectedMs = await fleet.runUntil(
      () => fleet.stateAt("riga-a-2", "riga-a-1") === Suspect,
      10_000,
    );
    t.ok(suspectedMs < 5_000, `suspected after ${suspectedMs} ms`);
    const deadMs = await fleet.runUntil(
      () => [...fleet.vms.keys()].every((name) => fleet.stateAt(name, "riga-a-1") === Dead),
      20_000,
    );
    t.ok(deadMs < 15_000, `dead everywhere after ${deadMs} ms more`);
    t.not(findHome.findHome(engine, "riga-a", members())?.name, "riga-a-1");
  },
);

tap.test(
  "a VM that is wrongly suspected refutes the suspicion under a new incarnation",
  async (t) => {
    const fleet = await startedFleet(5);
    fleet.isolate("riga-a-1");
    await fleet.runUntil(() => fleet.stateAt("riga-a-2", "riga-a-1") === Suspect, 10_000);
    fleet.hub.heal();
    t.ok((await fleet.runUntil(() => fleet.isEveryRunningVmLive(), 15_000)) < 15_000);
    const view = fleet.vms.get("riga-a-2")!.membership.members();
    const refuted = view.find((member) => member.name === "riga-a-1")!;
    t.ok(refuted.incarnation % 1_024 > 0, "its incarnation is above the first one of its process");
  },
);

tap.test("VMs that consider each other dead reconnect without the platform's list", async (t) => {
  const fleet = await startedFleet(6);
  for (const dataCentre of DATA_CENTRES) fleet.list.partitionedDataCentres.add(dataCentre);
  fleet.isolate("riga-a-1");
  const areBothDead = () =>
    fleet.stateAt("riga-a-1", "riga-a-2") === Dead &&
    fleet.stateAt("riga-a-2", "riga-a-1") === Dead;
  t.ok((await fleet.runUntil(areBothDead, 30_000)) < 30_000);
  fleet.hub.heal();
  t.ok((await fleet.runUntil(() => fleet.isEveryRunningVmLive(), 60_000)) < 60_000);
});

tap.test("a VM detects its own pause, resumes no former role, and rejoins", async (t) => {
  const fleet = await startedFleet(7);
  fleet.pause("riga-a-1");
  await fleet.clock.runForMs(20_000);
  t.equal(fleet.stateAt("riga-a-2", "riga-a-1"), Dead);
  const paused = fleet.vms.get("riga-a-1")!.membership;
  t.equal(fleet.stateAt("riga-a-1", "riga-a-1"), Suspect, "before any of its timers has run");
  fleet.resume("riga-a-1");
  t.equal(fleet.stateAt("riga-a-1", "riga-a-1"), Suspect, "before it has received an answer");
  t.not(findHome.findHome("engine", "riga-a", paused.members())?.name, "riga-a-1");
  t.equal(fleet.stateAt("riga-a-1", "riga-a-2"), Live, "the pause is no evidence against others");
  t.ok((await fleet.runUntil(() => fleet.isEveryRunningVmLive(), 30_000)) < 30_000);
});

tap.test("an announced leaving state persists against a list that still says live", async (t) => {
  const fleet = await startedFleet(8);
  fleet.vms.get("riga-a-1")!.membership.leave();
  const everyone = [...fleet.vms.keys()];
  const isLeaving = () => everyone.every((name) => fleet.stateAt(name, "riga-a-1") === Leaving);
  t.ok((await fleet.runUntil(isLeaving, 15_000)) < 10_000);
  await fleet.clock.runForMs(60_000);
  t.ok(isLeaving(), "the list still names it as live");
});

tap.test("a VM once listed as leaving stays leaving when the list reverts to live", async (t) => {
  const fleet = await startedFleet(9);
  await fleet.clock.runForMs(6_000);
  const listed = fleet.list.listed;
  fleet.list.listed = listed.map((vm) =>
    vm.name === "riga-a-1" ? { ...vm, listing: platform.VmListing.Leaving } : vm,
  );
  await fleet.clock.runForMs(10_000);
  fleet.list.listed = listed;
  await fleet.clock.runForMs(30_000);
  for (const name of fleet.vms.keys()) t.equal(fleet.stateAt(name, "riga-a-1"), Leaving, name);
});

tap.test(
  "a VM listed as leaving from its start is live, since the list refers to an earlier VM",
  async (t) => {
    const fleet = await startedFleet(10);
    fleet.start("riga-a-9", "riga-a", platform.VmListing.Leaving);
    await fleet.clock.runForMs(20_000);
    t.equal(fleet.stateAt("riga-b-1", "riga-a-9"), Live);
  },
);

tap.test("a leaving VM that has stopped is eventually declared dead", async (t) => {
  const fleet = await startedFleet(11);
  fleet.vms.get("riga-a-1")!.membership.leave();
  await fleet.clock.runForMs(5_000);
  await fleet.kill("riga-a-1");
  await fleet.clock.runForMs(30_000);
  t.equal(fleet.stateAt("riga-b-1", "riga-a-1"), Dead);
});

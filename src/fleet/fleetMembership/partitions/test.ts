import tap from "tap";

import * as virtualFleet from "../../../../standins/fleet/virtualFleet/index.js";
import * as findHome from "../../findHome/index.js";
import * as types from "../../types.js";

const { Live, Suspect, Dead } = types.MemberState;
const DATA_CENTRES = ["riga-a", "riga-b", "riga-c"];
const MINUTE_MS = 60_000;

async function startedFleet(seed: number): Promise<virtualFleet.VirtualFleet> {
  const fleet = new virtualFleet.VirtualFleet(seed);
  fleet.startMany(3, DATA_CENTRES);
  await fleet.runUntil(() => fleet.isEveryRunningVmLive(), 30_000);
  return fleet;
}

function statesSeenBy(fleet: virtualFleet.VirtualFleet, observer: string, dataCentre: string) {
  const members = fleet.vms.get(observer)!.membership.members();
  const seen = members.filter((member) => member.dataCentre === dataCentre);
  return new Set(seen.map((member) => member.state));
}

tap.test("a data centre partitioned from the others is suspect there, never dead", async (t) => {
  const fleet = await startedFleet(21);
  fleet.partition(["riga-a"]);
  const isSuspected = () =>
    ["riga-b-1", "riga-c-3"].every((name) => statesSeenBy(fleet, name, "riga-a").has(Suspect));
  t.ok((await fleet.runUntil(isSuspected, MINUTE_MS)) < 20_000);
  await fleet.clock.runForMs(15 * MINUTE_MS);
  t.same([...statesSeenBy(fleet, "riga-b-1", "riga-a")], [Suspect]);
  t.same([...statesSeenBy(fleet, "riga-a-1", "riga-b")], [Suspect]);
  t.same(
    [...statesSeenBy(fleet, "riga-a-1", "riga-a")],
    [Live],
    "its own members stay live within it",
  );
  t.same([...statesSeenBy(fleet, "riga-b-1", "riga-c")], [Live]);
  const members = fleet.vms.get("riga-a-1")!.membership.members();
  t.equal(findHome.findHome("engine", "riga-a", members)?.dataCentre, "riga-a");
  fleet.hub.heal();
  t.ok((await fleet.runUntil(() => fleet.isEveryRunningVmLive(), MINUTE_MS)) < 20_000);
});

tap.test(
  "a data centre partitioned from the platform keeps its members and discovers new ones",
  async (t) => {
    const fleet = await startedFleet(22);
    fleet.list.partitionedDataCentres.add("riga-a");
    await fleet.clock.runForMs(5 * MINUTE_MS);
    t.ok(fleet.isEveryRunningVmLive());
    fleet.start("riga-b-9", "riga-b");
    t.ok((await fleet.runUntil(() => fleet.isEveryRunningVmLive(), MINUTE_MS)) < 20_000);
  },
);

tap.test(
  "a data centre partitioned from the others and the platform recovers as each partition heals",
  async (t) => {
    const fleet = await startedFleet(23);
    fleet.list.partitionedDataCentres.add("riga-a");
    fleet.partition(["riga-a"]);
    await fleet.kill("riga-a-2");
    await fleet.clock.runForMs(5 * MINUTE_MS);
    t.equal(fleet.stateAt("riga-a-1", "riga-a-2"), Dead);
    t.equal(
      fleet.stateAt("riga-b-1", "riga-a-2"),
      Suspect,
      "other data centres cannot detect the failure",
    );
    t.equal(fleet.stateAt("riga-a-1", "riga-a-3"), Live);
    fleet.list.partitionedDataCentres.delete("riga-a");
    await fleet.clock.runForMs(MINUTE_MS);
    t.equal(fleet.stateAt("riga-b-1", "riga-a-1"), Suspect);
    fleet.hub.heal();
    t.ok((await fleet.runUntil(() => fleet.isEveryRunningVmLive(), MINUTE_MS)) < 30_000);
    t.equal(fleet.stateAt("riga-b-1", "riga-a-2"), Dead);
  },
);

tap.test(
  "VMs that replace all those of a partitioned data centre are discovered after healing",
  async (t) => {
    const fleet = await startedFleet(24);
    fleet.partition(["riga-a"]);
    for (const index of [1, 2, 3]) {
      fleet.start(`riga-a-new-${index}`, "riga-a");
      await fleet.clock.runForMs(MINUTE_MS);
      await fleet.kill(`riga-a-${index}`);
      await fleet.clock.runForMs(MINUTE_MS);
    }
    fleet.hub.heal();
    t.ok((await fleet.runUntil(() => fleet.isEveryRunningVmLive(), 2 * MINUTE_MS)) < MINUTE_MS);
  },
);

tap.test(
  "replacing all VMs one after the other within an hour leaves a consistent fleet",
  async (t) => {
    const fleet = await startedFleet(25);
    const oldNames = [...fleet.vms.keys()];
    for (const name of oldNames) {
      const dataCentre = fleet.vms.get(name)!.membership.self.dataCentre;
      fleet.start(`${name}-new`, dataCentre);
      await fleet.clock.runForMs(MINUTE_MS);
      fleet.vms.get(name)!.membership.leave();
      await fleet.clock.runForMs(MINUTE_MS);
      await fleet.kill(name);
    }
    t.ok((await fleet.runUntil(() => fleet.isEveryRunningVmLive(), MINUTE_MS)) < MINUTE_MS);
    t.equal(fleet.vms.size, oldNames.length);
  },
);

tap.test(
  "a VM replaced under its name at another address counts itself as dead when it resumes",
  async (t) => {
    const fleet = await startedFleet(26);
    const old = fleet.vms.get("riga-a-1")!;
    fleet.pause("riga-a-1");
    await fleet.clock.runForMs(MINUTE_MS);
    fleet.list.listed = fleet.list.listed.filter((vm) => vm.name !== "riga-a-1");
    fleet.start("riga-a-1", "riga-a");
    t.ok((await fleet.runUntil(() => fleet.isEveryRunningVmLive(), MINUTE_MS)) < MINUTE_MS);
    old.clock.resume();
    old.socket.resume();
    await fleet.clock.runForMs(20_000);
    const ownView = old.membership.members().find((member) => member.name === "riga-a-1");
    t.equal(ownView?.state, Dead, "the replaced process is dead in its own view");
    t.ok(fleet.isEveryRunningVmLive(), "the new process is live in all other views");
  },
);

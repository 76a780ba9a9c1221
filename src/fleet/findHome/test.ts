import * as fc from "fast-check";
import tap from "tap";

import * as rankByRendezvous from "../rankByRendezvous/index.js";
import * as types from "../types.js";
import * as findHome from "./index.js";

function memberOf(name: string, state = types.MemberState.Live): types.VmMember {
  return {
    name,
    region: "riga",
    dataCentre: "riga-a",
    peerAddress: "127.0.0.1",
    peerPort: 1,
    heartbeatPort: 1,
    state,
    incarnation: 1,
  };
}

const names = fc.uniqueArray(fc.string({ minLength: 1, maxLength: 8 }), {
  minLength: 2,
  maxLength: 12,
});

tap.test("the home does not depend on the order of members", async (t) => {
  fc.assert(
    fc.property(names, fc.string(), (vmNames, engine) => {
      const members = vmNames.map((name) => memberOf(name));
      const expected = findHome.findHome(engine, "riga-a", members)?.name;
      return findHome.findHome(engine, "riga-a", [...members].reverse())?.name === expected;
    }),
    { seed: 6 },
  );
  t.pass();
});

tap.test("removing a VM reassigns only the engines whose home it was", async (t) => {
  fc.assert(
    fc.property(names, fc.string(), (vmNames, engine) => {
      const members = vmNames.map((name) => memberOf(name));
      const ranked = rankByRendezvous.rankByRendezvous(engine, members);
      const withoutLast = members.filter((member) => member.name !== ranked.at(-1)?.name);
      const withoutFirst = members.filter((member) => member.name !== ranked[0]?.name);
      return (
        findHome.findHome(engine, "riga-a", withoutLast)?.name === ranked[0]?.name &&
        findHome.findHome(engine, "riga-a", withoutFirst)?.name === ranked[1]?.name
      );
    }),
    { seed: 6 },
  );
  t.pass();
});

tap.test(
  "suspect, leaving and dead VMs and VMs of other data centres are not chosen as home",
  async (t) => {
    const members = [
      memberOf("a", types.MemberState.Suspect),
      memberOf("b", types.MemberState.Leaving),
      memberOf("c", types.MemberState.Dead),
      { ...memberOf("d"), dataCentre: "riga-b" },
    ];
    t.equal(findHome.findHome("engine", "riga-a", members), undefined);
  },
);

tap.test("engines are distributed evenly over the VMs of a data centre", async (t) => {
  const members = Array.from({ length: 8 }, (_, index) => memberOf(`vm-${index}`));
  const counts = new Map<string, number>();
  for (let engine = 0; engine < 8_000; engine += 1) {
    const name = findHome.findHome(`engine-${engine}`, "riga-a", members)!.name;
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }
  for (const count of counts.values()) t.ok(count > 850 && count < 1_150, `${count} engines`);
});

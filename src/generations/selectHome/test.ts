import tap from "tap";

import * as fleetViews from "../../../standins/fleet/view/index.js";
import * as fleet from "../../fleet/types.js";
import * as homes from "./index.js";

const ENGINE = { name: "engine-1", dataCentre: "a" };

function member(name: string, dataCentre: string, state: fleet.MemberState): fleet.VmMember {
  return { ...fleetViews.createVmIdentity(name, dataCentre), state, incarnation: 1 };
}

tap.test("the home is selected in the engine's data centre", (t) => {
  const members = [
    member("vm-1", "a", fleet.MemberState.Live),
    member("vm-2", "b", fleet.MemberState.Live),
  ];
  t.equal(homes.selectHome(ENGINE, members), "vm-1");
  t.end();
});

tap.test("the home is selected in another data centre if the engine's own has no live VM", (t) => {
  const members = [
    member("vm-1", "a", fleet.MemberState.Dead),
    member("vm-2", "b", fleet.MemberState.Live),
  ];
  t.equal(homes.selectHome(ENGINE, members), "vm-2");
  t.end();
});

tap.test("a leaving VM is selected only if no VM is live", (t) => {
  const leaving = member("vm-1", "a", fleet.MemberState.Leaving);
  t.equal(homes.selectHome(ENGINE, [leaving]), "vm-1");
  const live = member("vm-2", "b", fleet.MemberState.Live);
  t.equal(homes.selectHome(ENGINE, [leaving, live]), "vm-2");
  t.end();
});

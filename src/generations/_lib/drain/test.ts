import tap from "tap";

import * as callers from "../../../../standins/vms/caller/index.js";
import * as expectations from "../../../../standins/vms/expectations/index.js";
import * as vms from "../../../../standins/vms/index.js";
import * as fleetTypes from "../../../fleet/types.js";

tap.test("a VM that shuts down loses no generation, as home or as owner", async (t) => {
  await using group = new vms.VmGroup({ vms: vms.THREE_VMS, engines: { e1: "dc1" } });
  const [home, entry] = callers.listHomeFirst(group, "e1");
  for (const leavingVm of [home, entry!]) {
    const caller = await callers.startGenerationAt(group, entry!);
    const unread = await callers.startGenerationAt(group, leavingVm, { abandonAfterMs: null });
    unread.detach();
    group.setVmState(leavingVm, fleetTypes.MemberState.Leaving);
    let isDrained = false;
    void group
      .vm(leavingVm)
      .service.drain()
      .then(() => (isDrained = true));
    await group.clock.runForMs(8_000);
    t.ok(isDrained, `${leavingVm} has drained`);
    t.same(group.vm(leavingVm).service.describeHeld().unfinishedRequestIds, []);
    expectations.expectCompleteAnswer(t, caller);
    group.killVm(leavingVm);
    void unread.attach(group.runningVms()[0]!);
    await group.clock.runForMs(3_000);
    expectations.expectCompleteAnswer(t, unread);
  }
});

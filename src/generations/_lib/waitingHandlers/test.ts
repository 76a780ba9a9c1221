import tap from "tap";

import * as callers from "../../../../standins/vms/caller/index.js";
import * as expectations from "../../../../standins/vms/expectations/index.js";
import * as vms from "../../../../standins/vms/index.js";
import * as catalogueTypes from "../../../catalogue/types.js";

/** A group whose only engine has memory for about two generations. */
function createCrowdedGroup(): vms.VmGroup {
  return new vms.VmGroup({
    vms: vms.THREE_VMS,
    engines: { e1: "dc1" },
    engineOptions: { capacityTokens: 800, maxRunningCount: 4, lengthOf: () => 100 },
  });
}

tap.test("requests without capacity wait at their entry VM and finish completely", async (t) => {
  await using group = createCrowdedGroup();
  await group.settle();
  const waiting = ["a", "b", "c", "a", "b", "c"].map((vmName, index) => {
    const caller = new callers.Caller(group, `r${index}`);
    void caller.submit(vmName, { maxTokens: 700 });
    return caller;
  });
  await group.clock.runForMs(200);
  const queued = [...group.vms.values()].flatMap((vm) => vm.service.describeQueue());
  t.ok(queued.length > 0, "some requests wait");
  t.ok(queued.every((item) => item.reason !== ""));
  await group.clock.runForMs(20_000);
  for (const caller of waiting) expectations.expectCompleteAnswer(t, caller);
});

tap.test("capacity is offered to the most urgent request, whichever VM it waits at", async (t) => {
  await using group = createCrowdedGroup();
  await group.settle();
  const submit = (id: string, vmName: string, requestClass: catalogueTypes.RequestClass) => {
    const caller = new callers.Caller(group, id);
    void caller.submit(vmName, { class: requestClass, maxTokens: 700 });
    return caller;
  };
  submit("first", "a", catalogueTypes.RequestClass.Batch);
  await group.clock.runForMs(200);
  const report = submit("report", "b", catalogueTypes.RequestClass.Batch);
  await group.clock.runForMs(100);
  const lookup = submit("lookup", "c", catalogueTypes.RequestClass.Interactive);
  await group.clock.runForMs(20_000);
  expectations.expectCompleteAnswer(t, report);
  expectations.expectCompleteAnswer(t, lookup);
  t.ok(lookup.arrivedAtMs[0]! < report.arrivedAtMs[0]!, "the interactive request starts first");
});

tap.test("a waiting request survives the loss of its entry VM", async (t) => {
  await using group = createCrowdedGroup();
  await group.settle();
  const callersOfA = [0, 1, 2, 3, 4].map((index) => {
    const caller = new callers.Caller(group, group.vm("a").service.createRequestId());
    void caller.submit("a", { maxTokens: 700, abandonAfterMs: null, name: `entry-${index}` });
    return caller;
  });
  await group.clock.runForMs(300);
  t.ok(group.vm("a").service.describeQueue().length > 0);
  group.killVm("a");
  await group.clock.runForMs(30_000);
  for (const caller of callersOfA) void caller.attach("b");
  await group.clock.runForMs(1_000);
  for (const caller of callersOfA) expectations.expectCompleteAnswer(t, caller);
});

import tap from "tap";

import * as callers from "../../../../standins/vms/caller/index.js";
import * as expectations from "../../../../standins/vms/expectations/index.js";
import * as engineTypes from "../../../../standins/engine/types.js";
import * as vms from "../../../../standins/vms/index.js";

tap.test(
  "a generation without callers is cancelled on its engine after abandonAfterMs",
  async (t) => {
    await using group = new vms.VmGroup({
      vms: vms.THREE_VMS,
      engines: { e1: "dc1" },
      engineOptions: { lengthOf: () => 900 },
    });
    const caller = await callers.startGenerationAt(group, "a", { abandonAfterMs: 1_000 });
    caller.detach();
    await group.clock.runForMs(2_000);
    t.equal(group.engine("e1").counters.cancelledCount, 1);
    t.equal(group.vm("a").service.describeHeld().unfinishedRequestIds.length, 0);
  },
);

tap.test(
  "a generation without callers and without abandonAfterMs is finished and retained",
  async (t) => {
    await using group = new vms.VmGroup({ vms: vms.THREE_VMS, engines: { e1: "dc1" } });
    const caller = await callers.startGenerationAt(group, "a", { abandonAfterMs: null });
    caller.detach();
    await group.clock.runForMs(10_000);
    void caller.attach("b");
    await group.clock.runForMs(100);
    expectations.expectCompleteAnswer(t, caller);
  },
);

tap.test("a slow caller pauses its own stream and no other", async (t) => {
  await using group = new vms.VmGroup({
    vms: vms.THREE_VMS,
    engines: { e1: "dc1" },
    engineOptions: { capacityTokens: 100_000, lengthOf: () => 9_000, stepBaseMs: 1 },
  });
  const slow = await callers.startGenerationAt(group, "a", {
    maxTokens: 10_000,
    abandonAfterMs: 120_000,
  });
  const quick = new callers.Caller(group, group.vm("a").service.createRequestId());
  void quick.submit("a", { maxTokens: 10_000 });
  slow.isReadingPaused = true;
  await group.clock.runForMs(30_000);
  expectations.expectCompleteAnswer(t, quick, 9_000);
  const held = [...group.vms.values()].flatMap((vm) => vm.service.describeEngines());
  const run = held
    .flatMap((engine) => engine.runs)
    .find((item) => item.requestId === slow.requestId);
  t.ok(run!.producedTokens < 6_000, `${run!.producedTokens} tokens read ahead of the caller`);
  slow.resume();
  await group.clock.runForMs(30_000);
  expectations.expectCompleteAnswer(t, slow, 9_000);
});

tap.test(
  "a caller that re-attaches at another VM while the owner lives gets the remaining tokens",
  async (t) => {
    await using group = new vms.VmGroup({ vms: vms.THREE_VMS, engines: { e1: "dc1" } });
    const caller = await callers.startGenerationAt(group, "a");
    void caller.attach("b");
    await group.clock.runForMs(5_000);
    expectations.expectCompleteAnswer(t, caller);
  },
);

tap.test("a caller that waits at a new owner for the first token counts as attached", async (t) => {
  await using group = new vms.VmGroup({ vms: vms.THREE_VMS, engines: { e1: "dc1" } });
  await group.settle();
  const engine = group.engine("e1");
  engine.inject(engineTypes.EngineFault.Stalled);
  const caller = new callers.Caller(group, group.vm("a").service.createRequestId());
  void caller.submit("a", { abandonAfterMs: 2_000 });
  await group.clock.runForMs(100);
  group.killVm("a");
  void caller.attach("b");
  await group.clock.runForMs(6_000);
  engine.heal(engineTypes.EngineFault.Stalled);
  await group.clock.runForMs(10_000);
  expectations.expectCompleteAnswer(t, caller);
});

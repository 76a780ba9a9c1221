import tap, { type Test } from "tap";

import * as vms from "../../../standins/vms/index.js";
import * as callers from "../../../standins/vms/caller/index.js";

function assertWhole(t: Test, caller: callers.Caller, tokensCount = 100): void {
  t.equal(caller.refusal?.message, undefined);
  t.equal(caller.error?.message, undefined);
  t.equal(caller.tokens.length, tokensCount);
  t.equal(caller.misplacedFramesCount, 0);
  t.ok(callers.isOneSampling(caller.tokens), "one sampling, each token once and in order");
  t.equal(caller.finishReason, "stop");
}

tap.test("one VM alone serves a generation whole", async (t) => {
  await using group = new vms.VmGroup({ vms: { a: "dc1" }, engines: { e1: "dc1" } });
  await group.settle();
  const caller = new callers.Caller(group, "r1");
  void caller.submit("a");
  await group.clock.runForMs(5_000);
  assertWhole(t, caller);
});

tap.test("two VMs serve a generation whole whichever accepts it", async (t) => {
  await using group = new vms.VmGroup({ vms: { a: "dc1", b: "dc1" }, engines: { e1: "dc1" } });
  await group.settle();
  for (const vmName of ["a", "b"]) {
    const caller = new callers.Caller(group, `r-${vmName}`);
    void caller.submit(vmName);
    await group.clock.runForMs(5_000);
    assertWhole(t, caller);
  }
});

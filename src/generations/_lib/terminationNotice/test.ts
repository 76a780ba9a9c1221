import tap from "tap";

import * as callers from "../../../../standins/vms/caller/index.js";
import * as expectations from "../../../../standins/vms/expectations/index.js";
import * as vms from "../../../../standins/vms/index.js";

tap.test(
  "a leaving engine gets no new work later than 3 s after a notice from any source",
  async (t) => {
    const notices: Record<string, (group: vms.VmGroup) => void> = {
      "load report": (group) => group.engine("e1").reclaim(60_000),
      catalogue: (group) => group.drainEngine("e1"),
      "platform's list": (group) => {
        for (const vm of group.vms.values()) vm.service.markEngineLeaving("e1");
      },
    };
    for (const [source, sendNotice] of Object.entries(notices)) {
      await using group = new vms.VmGroup({
        vms: vms.THREE_VMS,
        engines: { e1: "dc1", e2: "dc1" },
      });
      await group.settle();
      sendNotice(group);
      await group.clock.runForMs(3_000);
      for (let index = 0; index < 8; index += 1) {
        void new callers.Caller(group, `${source}-${index}`).submit("a");
      }
      await group.clock.runForMs(2_000);
      t.equal(group.engine("e1").counters.startedCount, 0, source);
      t.equal(group.engine("e2").counters.startedCount, 8, source);
    }
  },
);

tap.test(
  "runs that may outlast a leaving engine are handed over before it terminates",
  async (t) => {
    await using group = new vms.VmGroup({
      vms: vms.THREE_VMS,
      engines: { e1: "dc1", e2: "dc1" },
      engineOptions: { lengthOf: () => 900 },
    });
    const caller = await callers.startGenerationAt(group, "a");
    const running = [...group.engines.values()].find((engine) => engine.counters.startedCount > 0)!;
    running.reclaim(5_000);
    await group.clock.runForMs(4_000);
    t.equal(running.counters.cancelledCount, 1, "handed over before the engine terminates");
    await group.clock.runForMs(20_000);
    expectations.expectCompleteAnswer(t, caller, 900);
  },
);

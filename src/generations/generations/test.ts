import tap from "tap";

import * as callers from "../../../standins/vms/caller/index.js";
import * as expectations from "../../../standins/vms/expectations/index.js";
import * as engineTypes from "../../../standins/engine/types.js";
import * as vms from "../../../standins/vms/index.js";
import * as stepError from "../../_lib/stepError/index.js";
import * as catalogueTypes from "../../catalogue/types.js";

tap.test("a single VM serves a complete generation", async (t) => {
  await using group = new vms.VmGroup({ vms: { a: "dc1" }, engines: { e1: "dc1" } });
  const caller = await callers.startGenerationAt(group, "a");
  await group.clock.runForMs(5_000);
  expectations.expectCompleteAnswer(t, caller);
});

tap.test("two VMs serve a complete generation, whichever accepts it", async (t) => {
  await using group = new vms.VmGroup({ vms: { a: "dc1", b: "dc1" }, engines: { e1: "dc1" } });
  for (const vmName of ["a", "b"]) {
    const caller = await callers.startGenerationAt(group, vmName);
    await group.clock.runForMs(5_000);
    expectations.expectCompleteAnswer(t, caller);
  }
});

tap.test("after an engine's failure the generation continues on another engine", async (t) => {
  await using group = new vms.VmGroup({ vms: vms.THREE_VMS, engines: { e1: "dc1", e2: "dc1" } });
  const caller = await callers.startGenerationAt(group, "a");
  const running = [...group.engines.values()].find((engine) => engine.counters.startedCount > 0);
  t.ok(caller.tokens.length > 0);
  running!.inject(engineTypes.EngineFault.Dead);
  await group.clock.runForMs(5_000);
  expectations.expectCompleteAnswer(t, caller);
  t.ok(
    callers.computeLongestGapMs(caller) < 1_000,
    `${callers.computeLongestGapMs(caller)} ms between tokens`,
  );
});

tap.test("after the home's failure the entry VM has the engine's stream resumed", async (t) => {
  await using group = new vms.VmGroup({ vms: vms.THREE_VMS, engines: { e1: "dc1" } });
  const [home, entry] = callers.listHomeFirst(group, "e1");
  const caller = await callers.startGenerationAt(group, entry!);
  t.ok(caller.tokens.length > 0);
  group.killVm(home);
  await group.clock.runForMs(5_000);
  expectations.expectCompleteAnswer(t, caller);
  t.equal(group.engine("e1").counters.startedCount, 1, "the engine's stream was resumed");
  t.ok(
    callers.computeLongestGapMs(caller) < 1_000,
    `${callers.computeLongestGapMs(caller)} ms between tokens`,
  );
});

tap.test("after the entry VM's failure the caller can re-attach at any VM", async (t) => {
  for (const isEntryHome of [false, true]) {
    await using group = new vms.VmGroup({ vms: vms.THREE_VMS, engines: { e1: "dc1" } });
    const [home, ...others] = callers.listHomeFirst(group, "e1");
    const entry = isEntryHome ? home : others[0]!;
    const caller = await callers.startGenerationAt(group, entry);
    t.ok(caller.tokens.length > 0);
    group.killVm(entry);
    const otherVm = others.find((name) => name !== entry)!;
    void caller.attach(otherVm);
    await group.clock.runForMs(5_000);
    expectations.expectCompleteAnswer(t, caller);
    t.ok(
      callers.computeLongestGapMs(caller) < 1_000,
      `${callers.computeLongestGapMs(caller)} ms between tokens`,
    );
  }
});

tap.test("a paused entry VM delivers nothing more after another VM took over", async (t) => {
  for (const isEntryHome of [false, true]) {
    await using group = new vms.VmGroup({ vms: vms.THREE_VMS, engines: { e1: "dc1" } });
    const [home, ...others] = callers.listHomeFirst(group, "e1");
    const entry = isEntryHome ? home : others[0]!;
    const original = await callers.startGenerationAt(group, entry);
    const resume = group.pauseVm(entry);
    const reattached = new callers.Caller(group, original.requestId);
    void reattached.attach(others.find((name) => name !== entry)!);
    await group.clock.runForMs(3_000);
    const deliveredCount = original.tokens.length;
    t.ok(deliveredCount < 100, "nothing is delivered that only the paused VM holds");
    expectations.expectCompleteAnswer(t, reattached);
    resume();
    await group.clock.runForMs(5_000);
    t.ok(callers.isSingleSampling(original.tokens));
    t.equal(original.offsetMismatchesCount, 0);
  }
});

tap.test("an engine's connections that go silent are replaced by new ones", async (t) => {
  await using group = new vms.VmGroup({ vms: vms.THREE_VMS, engines: { e1: "dc1" } });
  const caller = await callers.startGenerationAt(group, "a");
  group.engine("e1").inject(engineTypes.EngineFault.Silent);
  await group.clock.runForMs(5_000);
  expectations.expectCompleteAnswer(t, caller);
  t.equal(group.engine("e1").counters.startedCount, 1);
});

tap.test("a permanently stalled engine is replaced by another", async (t) => {
  await using group = new vms.VmGroup({ vms: vms.THREE_VMS, engines: { e1: "dc1", e2: "dc1" } });
  const caller = await callers.startGenerationAt(group, "a");
  const running = [...group.engines.values()].find((engine) => engine.counters.startedCount > 0);
  running!.inject(engineTypes.EngineFault.Stalled);
  await group.clock.runForMs(20_000);
  expectations.expectCompleteAnswer(t, caller);
});

tap.test("a generation survives a silent connection between entry VM and home", async (t) => {
  await using group = new vms.VmGroup({ vms: vms.THREE_VMS, engines: { e1: "dc1" } });
  const [home, entry] = callers.listHomeFirst(group, "e1");
  const caller = await callers.startGenerationAt(group, entry!);
  group.hub.silence(home, entry!);
  await group.clock.runForMs(10_000);
  expectations.expectCompleteAnswer(t, caller);
});

tap.test(
  "a home partitioned for 50 ms does not cancel the stream that its successor reads",
  async (t) => {
    await using group = new vms.VmGroup({ vms: vms.THREE_VMS, engines: { e1: "dc1" } });
    const [home, entry] = callers.listHomeFirst(group, "e1");
    const caller = await callers.startGenerationAt(group, entry!);
    group.hub.cut(home, entry!);
    await group.clock.runForMs(50);
    group.hub.heal(home, entry!);
    await group.clock.runForMs(5_000);
    expectations.expectCompleteAnswer(t, caller);
    t.equal(group.engine("e1").counters.cancelledCount, 0);
  },
);

tap.test(
  "partitioned data centres each serve their callers, also after the partition heals",
  async (t) => {
    await using group = new vms.VmGroup({
      vms: { a: "dc1", b: "dc1", c: "dc2", d: "dc2" },
      engines: { e1: "dc1", e2: "dc2" },
      engineOptions: { lengthOf: () => 400 },
    });
    const served = [
      await callers.startGenerationAt(group, "a"),
      await callers.startGenerationAt(group, "c"),
    ];
    const heal = group.partition("dc1", "dc2", 1_000);
    await group.clock.runForMs(3_000);
    heal();
    await group.clock.runForMs(20_000);
    for (const caller of served) expectations.expectCompleteAnswer(t, caller, 400);
  },
);

tap.test("a token that no second VM holds is not delivered", async (t) => {
  await using group = new vms.VmGroup({ vms: vms.THREE_VMS, engines: { e1: "dc1" } });
  const [home, ...others] = callers.listHomeFirst(group, "e1");
  const caller = await callers.startGenerationAt(group, home);
  for (const other of others) group.hub.silence(home, other);
  await group.clock.runForMs(5);
  const deliveredCount = caller.tokens.length;
  await group.clock.runForMs(300);
  t.equal(caller.tokens.length, deliveredCount);
  await group.clock.runForMs(5_000);
  expectations.expectCompleteAnswer(t, caller);
  const trace = group.trace(caller.requestId).join();
  t.match(trace, /keeper.none/, "the lack of a standby is traced");
});

tap.test(
  "if all holders of the tokens fail at once, no tokens of another sampling are delivered",
  async (t) => {
    const codes: (string | undefined)[] = [];
    for (let seed = 1; seed <= 6; seed += 1) {
      await using group = new vms.VmGroup({
        vms: { ...vms.THREE_VMS, d: "dc1" },
        engines: { e1: "dc1", e2: "dc1" },
        seed,
      });
      const homes = ["e1", "e2"].map((name) => callers.listHomeFirst(group, name)[0]);
      const entry = [...group.vms.keys()].find((name) => !homes.includes(name))!;
      const caller = await callers.startGenerationAt(group, entry);
      const [name, engine] = [...group.engines].find(([, item]) => item.counters.startedCount > 0)!;
      const deliveredCount = caller.tokens.length;
      engine.inject(engineTypes.EngineFault.Dead);
      group.killVm(entry);
      group.killVm(callers.listHomeFirst(group, name)[0]);
      void caller.attach(group.runningVms()[0]!);
      await group.clock.runForMs(20_000);
      t.equal(caller.tokens.length, deliveredCount);
      codes.push(caller.error?.code);
    }
    t.ok(codes.includes(stepError.ErrorCode.Interrupted), codes.join());
    t.ok(codes.every((code) => code !== undefined));
  },
);

tap.test(
  "an active generation is finished after its deadline, unless it is interactive",
  async (t) => {
    for (const requestClass of Object.values(catalogueTypes.RequestClass)) {
      await using group = new vms.VmGroup({ vms: vms.THREE_VMS, engines: { e1: "dc1" } });
      const caller = await callers.startGenerationAt(group, "a", {
        class: requestClass,
        deadlineMs: 700,
      });
      await group.clock.runForMs(5_000);
      if (requestClass === catalogueTypes.RequestClass.Interactive) {
        t.equal(caller.error?.code, stepError.ErrorCode.DeadlineExceeded);
        t.equal(caller.error?.deliveredTokens, caller.tokens.length);
      } else expectations.expectCompleteAnswer(t, caller);
    }
  },
);

tap.test(
  "if no engine is available, the error states the number of delivered tokens",
  async (t) => {
    await using group = new vms.VmGroup({ vms: vms.THREE_VMS, engines: { e1: "dc1" } });
    const caller = await callers.startGenerationAt(group, "a", { deadlineMs: 8_000 });
    group.engine("e1").inject(engineTypes.EngineFault.Dead);
    await group.clock.runForMs(10_000);
    t.equal(caller.error?.code, stepError.ErrorCode.DeadlineExceeded);
    t.equal(caller.error?.deliveredTokens, caller.tokens.length);
    t.ok(caller.error!.retryAfterMs! > 0);
    t.equal(caller.finishReason, null);
  },
);

tap.test("simultaneous failures of engine and home lose no tokens", async (t) => {
  await using group = new vms.VmGroup({ vms: vms.THREE_VMS, engines: { e1: "dc1", e2: "dc1" } });
  const caller = await callers.startGenerationAt(group, "a");
  const [name, engine] = [...group.engines].find(([, item]) => item.counters.startedCount > 0)!;
  const [home] = callers.listHomeFirst(group, name);
  engine.inject(engineTypes.EngineFault.Dead);
  if (home !== "a") group.killVm(home);
  await group.clock.runForMs(10_000);
  expectations.expectCompleteAnswer(t, caller);
});

tap.test(
  "a generation whose entry VM failed while it waited is finished and retained",
  async (t) => {
    await using group = new vms.VmGroup({ vms: vms.THREE_VMS, engines: { e1: "dc1" } });
    await group.settle();
    group.engine("e1").inject(engineTypes.EngineFault.Stalled);
    const caller = new callers.Caller(group, group.vm("a").service.createRequestId());
    void caller.submit("a", { class: catalogueTypes.RequestClass.Batch, abandonAfterMs: null });
    await group.clock.runForMs(100);
    group.killVm("a");
    group.engine("e1").heal(engineTypes.EngineFault.Stalled);
    await group.clock.runForMs(8_000);
    const again = new callers.Caller(group, caller.requestId);
    void again.attach("b");
    await group.clock.runForMs(500);
    expectations.expectCompleteAnswer(t, again);
  },
);

tap.test("a stopped VM leaves no timers for generations that waited there", async (t) => {
  const group = new vms.VmGroup({ vms: { a: "dc1" }, engines: {} });
  await group.settle();
  const caller = new callers.Caller(group, group.vm("a").service.createRequestId());
  void caller.submit("a", { class: catalogueTypes.RequestClass.Batch, abandonAfterMs: null });
  await group.clock.runForMs(2_500);
  t.equal(group.vm("a").service.describeQueue().length, 1, "the generation waits");
  await group[Symbol.asyncDispose]();
  await group.clock.runForMs(10_000);
  t.equal(group.clock.pendingTimersCount, 0);
});

import tap, { type Test } from "tap";

import * as callers from "../../../standins/vms/caller/index.js";
import * as engineTypes from "../../../standins/engine/types.js";
import * as vms from "../../../standins/vms/index.js";
import * as stepError from "../../_lib/stepError/index.js";
import * as catalogueTypes from "../../catalogue/types.js";
import * as fleetTypes from "../../fleet/types.js";
import * as generations from "../index.js";

const THREE_VMS = { a: "dc1", b: "dc1", c: "dc1" };

function assertWhole(t: Test, caller: callers.Caller, tokensCount = 100): void {
  t.equal(caller.refusal?.message, undefined);
  t.equal(caller.error?.message, undefined);
  t.equal(caller.tokens.length, tokensCount);
  t.equal(caller.misplacedFramesCount, 0);
  t.ok(callers.isOneSampling(caller.tokens), "one sampling, each token once and in order");
  t.equal(caller.finishReason, "stop");
}

function longestGapMs(caller: callers.Caller): number {
  const gaps = caller.arrivedAtMs.slice(1).map((atMs, index) => atMs - caller.arrivedAtMs[index]!);
  return Math.max(...gaps);
}

/** The home of an engine, and the other VMs. */
function homeAndOthers(group: vms.VmGroup, engineName: string): [string, ...string[]] {
  const members = group.vm("a").fleet.members();
  const dataCentre = "dc1";
  const home = generations.selectHome({ name: engineName, dataCentre }, members)!;
  return [home, ...[...group.vms.keys()].filter((name) => name !== home)];
}

/** Starts a generation at a VM and lets it run until some tokens have been delivered. */
async function startAt(
  group: vms.VmGroup,
  vmName: string,
  overrides: Partial<catalogueTypes.GenerationEntry> = {},
): Promise<callers.Caller> {
  await group.settle();
  const caller = new callers.Caller(group, group.vm(vmName).service.createRequestId());
  void caller.submit(vmName, overrides);
  await group.clock.runForMs(500);
  return caller;
}

tap.test("one VM alone serves a generation whole", async (t) => {
  await using group = new vms.VmGroup({ vms: { a: "dc1" }, engines: { e1: "dc1" } });
  const caller = await startAt(group, "a");
  await group.clock.runForMs(5_000);
  assertWhole(t, caller);
});

tap.test("two VMs serve a generation whole whichever accepts it", async (t) => {
  await using group = new vms.VmGroup({ vms: { a: "dc1", b: "dc1" }, engines: { e1: "dc1" } });
  for (const vmName of ["a", "b"]) {
    const caller = await startAt(group, vmName);
    await group.clock.runForMs(5_000);
    assertWhole(t, caller);
  }
});

tap.test("an engine's death continues the generation on another engine", async (t) => {
  await using group = new vms.VmGroup({ vms: THREE_VMS, engines: { e1: "dc1", e2: "dc1" } });
  const caller = await startAt(group, "a");
  const running = [...group.engines.values()].find((engine) => engine.counters.startedCount > 0);
  t.ok(caller.tokens.length > 0);
  running!.inject(engineTypes.EngineFault.Dead);
  await group.clock.runForMs(5_000);
  assertWhole(t, caller);
  t.ok(longestGapMs(caller) < 1_000, `${longestGapMs(caller)} ms between tokens`);
});

tap.test(
  "the home's death is repaired by the entry, which resumes the engine's stream",
  async (t) => {
    await using group = new vms.VmGroup({ vms: THREE_VMS, engines: { e1: "dc1" } });
    const [home, entry] = homeAndOthers(group, "e1");
    const caller = await startAt(group, entry!);
    t.ok(caller.tokens.length > 0);
    group.killVm(home);
    await group.clock.runForMs(5_000);
    assertWhole(t, caller);
    t.equal(group.engine("e1").counters.startedCount, 1, "the engine's stream was resumed");
    t.ok(longestGapMs(caller) < 1_000, `${longestGapMs(caller)} ms between tokens`);
  },
);

tap.test("after the entry's death the caller re-attaches anywhere", async (t) => {
  for (const isEntryHome of [false, true]) {
    await using group = new vms.VmGroup({ vms: THREE_VMS, engines: { e1: "dc1" } });
    const [home, ...others] = homeAndOthers(group, "e1");
    const entry = isEntryHome ? home : others[0]!;
    const caller = await startAt(group, entry);
    t.ok(caller.tokens.length > 0);
    group.killVm(entry);
    const elsewhere = others.find((name) => name !== entry)!;
    void caller.attach(elsewhere);
    await group.clock.runForMs(5_000);
    assertWhole(t, caller);
    t.ok(longestGapMs(caller) < 1_000, `${longestGapMs(caller)} ms between tokens`);
  }
});

tap.test("a caller that re-attaches elsewhere while its entry lives gets the rest", async (t) => {
  await using group = new vms.VmGroup({ vms: THREE_VMS, engines: { e1: "dc1" } });
  const caller = await startAt(group, "a");
  void caller.attach("b");
  await group.clock.runForMs(5_000);
  assertWhole(t, caller);
});

tap.test("an entry that was paused while another VM took over delivers nothing more", async (t) => {
  for (const isEntryHome of [false, true]) {
    await using group = new vms.VmGroup({ vms: THREE_VMS, engines: { e1: "dc1" } });
    const [home, ...others] = homeAndOthers(group, "e1");
    const entry = isEntryHome ? home : others[0]!;
    const stayed = await startAt(group, entry);
    const resume = group.pauseVm(entry);
    const moved = new callers.Caller(group, stayed.requestId);
    void moved.attach(others.find((name) => name !== entry)!);
    await group.clock.runForMs(3_000);
    const seenCount = stayed.tokens.length;
    t.ok(seenCount < 100, "nothing is delivered that only the paused VM holds");
    assertWhole(t, moved);
    resume();
    await group.clock.runForMs(5_000);
    t.ok(callers.isOneSampling(stayed.tokens));
    t.equal(stayed.misplacedFramesCount, 0);
  }
});

tap.test("an engine's connections that go silent are replaced by new ones", async (t) => {
  await using group = new vms.VmGroup({ vms: THREE_VMS, engines: { e1: "dc1" } });
  const caller = await startAt(group, "a");
  group.engine("e1").inject(engineTypes.EngineFault.Silent);
  await group.clock.runForMs(5_000);
  assertWhole(t, caller);
  t.equal(group.engine("e1").counters.startedCount, 1);
});

tap.test("an engine that stalls for good is left for another", async (t) => {
  await using group = new vms.VmGroup({ vms: THREE_VMS, engines: { e1: "dc1", e2: "dc1" } });
  const caller = await startAt(group, "a");
  const running = [...group.engines.values()].find((engine) => engine.counters.startedCount > 0);
  running!.inject(engineTypes.EngineFault.Stalled);
  await group.clock.runForMs(20_000);
  assertWhole(t, caller);
});

tap.test("a silent link between entry and home is worked around", async (t) => {
  await using group = new vms.VmGroup({ vms: THREE_VMS, engines: { e1: "dc1" } });
  const [home, entry] = homeAndOthers(group, "e1");
  const caller = await startAt(group, entry!);
  group.hub.silence(home, entry!);
  await group.clock.runForMs(10_000);
  assertWhole(t, caller);
});

tap.test("where no engine is left the caller is told how much it has", async (t) => {
  await using group = new vms.VmGroup({ vms: THREE_VMS, engines: { e1: "dc1" } });
  const caller = await startAt(group, "a", { deadlineMs: 8_000 });
  group.engine("e1").inject(engineTypes.EngineFault.Dead);
  await group.clock.runForMs(10_000);
  t.equal(caller.error?.code, stepError.ErrorCode.DeadlineExceeded);
  t.equal(caller.error?.deliveredTokens, caller.tokens.length);
  t.ok(caller.error!.retryAfterMs! > 0);
  t.equal(caller.finishReason, null);
});

tap.test("the deaths of engine and home together lose nothing", async (t) => {
  await using group = new vms.VmGroup({ vms: THREE_VMS, engines: { e1: "dc1", e2: "dc1" } });
  const caller = await startAt(group, "a");
  const [name, engine] = [...group.engines].find(([, item]) => item.counters.startedCount > 0)!;
  const [home] = homeAndOthers(group, name);
  engine.inject(engineTypes.EngineFault.Dead);
  if (home !== "a") group.killVm(home);
  await group.clock.runForMs(10_000);
  assertWhole(t, caller);
});

tap.test("a generation whose entry died while it waited is finished and kept", async (t) => {
  await using group = new vms.VmGroup({ vms: THREE_VMS, engines: { e1: "dc1" } });
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
  assertWhole(t, again);
});

tap.test("a member that leaves is not used as a home", (t) => {
  const members = ["a", "b"].map((name) => ({
    name,
    region: "r",
    dataCentre: "dc1",
    peerAddress: "127.0.0.1",
    peerPort: 1,
    heartbeatPort: 1,
    incarnation: 1,
    state: name === "a" ? fleetTypes.MemberState.Leaving : fleetTypes.MemberState.Live,
  }));
  t.equal(generations.selectHome({ name: "e1", dataCentre: "dc1" }, members), "b");
  t.end();
});

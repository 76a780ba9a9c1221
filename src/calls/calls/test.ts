import tap from "tap";

import * as callsFleet from "../../../standins/calls/index.js";
import * as logModel from "../../../standins/log/model/index.js";
import * as serviceClients from "../../../standins/service/clients/index.js";
import * as catalogue from "../../catalogue/index.js";
import * as platform from "../../controlPlane/types.js";

const { summarise } = callsFleet;
const { ServiceFault } = serviceClients;

async function startFleet(...dataCentres: string[]): Promise<callsFleet.CallsFleet> {
  const rig = new callsFleet.CallsFleet();
  for (const [index, dataCentre] of dataCentres.entries()) rig.start(`vm-${index}`, dataCentre);
  await rig.clock.runForMs(1_000);
  return rig;
}

tap.test(
  "a second call with the same key at another VM returns the first call's answer",
  async (t) => {
    const rig = await startFleet("dc-a", "dc-b");
    const [left, right] = rig.vms;
    const first = await rig.settle(left!.calls.call(rig.request("key-1")));
    const second = await rig.settle(right!.calls.call(rig.request("key-1")));
    t.equal(summarise(first), "execution key-1");
    t.equal(summarise(second), "execution key-1");
    t.equal(rig.service.executionsByKey.get("key-1"), 1);
    await rig[Symbol.asyncDispose]();
  },
);

tap.test(
  "concurrent calls with one key at all VMs run once and return the same answer",
  async (t) => {
    const rig = await startFleet("dc-a", "dc-a", "dc-b", "dc-b");
    rig.service.latencyMs = 700;
    const work = rig.vms.map((vm) => vm.calls.call(rig.request("key-1")));
    const results = await rig.settle(Promise.all(work));
    t.same(new Set(results.map(summarise)), new Set(["execution key-1"]));
    t.equal(rig.service.executionsByKey.get("key-1"), 1);
    await rig[Symbol.asyncDispose]();
  },
);

tap.test("a call with a used key and another body is refused as not run", async (t) => {
  const rig = await startFleet("dc-a");
  await rig.settle(rig.vms[0]!.calls.call(rig.request("key-1", "one")));
  const other = await rig.settle(rig.vms[0]!.calls.call(rig.request("key-1", "two")));
  t.equal(summarise(other), "not-run");
  t.equal(rig.service.executionsByKey.get("key-1"), 1);
  await rig[Symbol.asyncDispose]();
});

tap.test("after a lost append response the log is read and the call runs once", async (t) => {
  const rig = await startFleet("dc-a");
  rig.log.inject(logModel.LogFault.LostAnswer);
  const result = await rig.settle(rig.vms[0]!.calls.call(rig.request("key-1")));
  rig.log.heal(logModel.LogFault.LostAnswer);
  t.equal(summarise(result), "execution key-1");
  t.equal(rig.service.executionsByKey.get("key-1"), 1);
  await rig[Symbol.asyncDispose]();
});

tap.test(
  "after a lost answer of the service the outcome is unknown and the call is not repeated",
  async (t) => {
    const rig = await startFleet("dc-a", "dc-b");
    rig.service.fault = ServiceFault.LostAnswer;
    const first = await rig.settle(rig.vms[0]!.calls.call(rig.request("key-1")));
    rig.service.fault = ServiceFault.None;
    const second = await rig.settle(rig.vms[1]!.calls.call(rig.request("key-1")));
    t.equal(summarise(first), "unknown");
    t.equal(summarise(second), "unknown");
    t.equal(rig.service.executionsByKey.get("key-1"), 1);
    await rig[Symbol.asyncDispose]();
  },
);

tap.test("the outcome of a call to a silent service is resolved by a status lookup", async (t) => {
  const rig = await startFleet("dc-a");
  rig.service.fault = ServiceFault.Silent;
  const request = rig.request("key-1", "body", { statusPath: "/status/{key}" });
  const result = await rig.settle(rig.vms[0]!.calls.call(request));
  t.equal(summarise(result), "execution key-1");
  t.equal(rig.service.executionsByKey.get("key-1"), 1);
  await rig[Symbol.asyncDispose]();
});

tap.test(
  "a key held by a dead VM is resolved by a status lookup, and stays unknown without one",
  async (t) => {
    const rig = await startFleet("dc-a", "dc-b");
    rig.service.fault = ServiceFault.Silent;
    void rig.vms[0]!.calls.call(rig.request("key-1", "body", {}, 600_000));
    await rig.clock.runForMs(500);
    const [left, right] = rig.vms;
    rig.kill(left!);
    rig.service.fault = ServiceFault.None;
    const plain = await rig.settle(right!.calls.call(rig.request("key-1")));
    const looked = rig.request("key-1", "body", { statusPath: "/status/{key}" });
    const settled = await rig.settle(right!.calls.call(looked));
    t.equal(summarise(plain), "unknown");
    t.equal(summarise(settled), "execution key-1");
    t.equal(rig.service.executionsByKey.get("key-1"), 1);
  },
);

tap.test(
  "a VM paused between intent and dispatch until after the deadline never runs the call",
  async (t) => {
    const rig = await startFleet("dc-a", "dc-b");
    const [left, right] = rig.vms;
    const late = left!.calls.call(rig.request("key-1", "body", {}, 1_000));
    await rig.clock.runForMs(1);
    left!.gate.pause();
    await rig.clock.runForMs(30_000);
    const other = rig.settle(right!.calls.call(rig.request("key-1")));
    t.equal(summarise(await other), "unknown", "the paused VM's attempt holds the key");
    left!.gate.resume();
    t.equal(summarise(await rig.settle(late)), "not-run");
    const next = await rig.settle(right!.calls.call(rig.request("key-1")));
    t.equal(summarise(next), "execution key-1", "the paused VM has released its attempt");
    t.equal(rig.service.executionsByKey.get("key-1"), 1);
    await rig[Symbol.asyncDispose]();
  },
);

tap.test("a call to an unreachable service releases the key for the next call", async (t) => {
  const rig = await startFleet("dc-a", "dc-b");
  rig.service.fault = ServiceFault.Unreachable;
  const refused = await rig.settle(rig.vms[0]!.calls.call(rig.request("key-1")));
  rig.service.fault = ServiceFault.None;
  const next = await rig.settle(rig.vms[1]!.calls.call(rig.request("key-1")));
  t.equal(summarise(refused), "not-run");
  t.equal(summarise(next), "execution key-1");
  await rig[Symbol.asyncDispose]();
});

tap.test(
  "while the log is down a call waits or is refused, depending on its entry's policy",
  async (t) => {
    const rig = await startFleet("dc-a");
    const { calls } = rig.vms[0]!;
    rig.log.inject(logModel.LogFault.Down);
    const refuse = { logOutage: catalogue.LogOutagePolicy.Refuse };
    t.equal(summarise(await rig.settle(calls.call(rig.request("key-1", "b", refuse)))), "not-run");
    const waiting = calls.call(rig.request("key-2", "b", {}, 20_000));
    await rig.clock.runForMs(5_000);
    rig.log.heal(logModel.LogFault.Down);
    t.equal(summarise(await rig.settle(waiting)), "execution key-2");
    await rig[Symbol.asyncDispose]();
  },
);

tap.test(
  "a data centre partitioned from the log and the other VMs refuses calls as not run",
  async (t) => {
    const rig = await startFleet("dc-a", "dc-b");
    const [left, right] = rig.vms;
    right!.log.isCut = true;
    rig.hub.cut("vm-0", "vm-1");
    const [here, there] = await rig.settle(
      Promise.all([
        left!.calls.call(rig.request("key-1")),
        right!.calls.call(rig.request("key-1")),
      ]),
    );
    t.equal(summarise(here), "execution key-1");
    t.equal(summarise(there), "not-run");
    right!.log.isCut = false;
    const healed = await rig.settle(right!.calls.call(rig.request("key-1")));
    t.equal(summarise(healed), "execution key-1");
    t.equal(rig.service.executionsByKey.get("key-1"), 1);
    await rig[Symbol.asyncDispose]();
  },
);

tap.test("a call without a key is dispatched once, also while the log is down", async (t) => {
  const rig = await startFleet("dc-a");
  rig.log.inject(logModel.LogFault.Down);
  rig.service.fault = ServiceFault.LostAnswer;
  const request = rig.request(null, "body", { keyRequired: false });
  t.equal(summarise(await rig.settle(rig.vms[0]!.calls.call(request))), "unknown");
  t.equal(rig.service.attemptsCount, 1);
  const required = rig.request(null);
  t.equal(summarise(await rig.settle(rig.vms[0]!.calls.call(required))), "not-run");
});

tap.test("intents of concurrent calls are appended in groups", async (t) => {
  const rig = await startFleet("dc-a");
  const before = rig.log.appendsCount;
  const work = Array.from({ length: 500 }, (_, index) =>
    rig.vms[0]!.calls.call(rig.request(`key-${index}`)),
  );
  const results = await rig.settle(Promise.all(work));
  t.ok(results.every((result) => result.isOk()));
  t.equal(rig.service.maxExecutions, 1);
  t.ok(rig.log.appendsCount - before <= 30, `${rig.log.appendsCount - before} appends`);
  await rig[Symbol.asyncDispose]();
});

tap.test("lost responses to group appends are resolved by few reads of the log", async (t) => {
  const rig = await startFleet("dc-a");
  rig.log.inject(logModel.LogFault.LostAnswer);
  const before = rig.vms[0]!.log.readsCount;
  const work = Array.from({ length: 200 }, (_, index) =>
    rig.vms[0]!.calls.call(rig.request(`key-${index}`)),
  );
  const results = await rig.settle(Promise.all(work));
  t.ok(results.every((result) => result.isOk()));
  const readsCount = rig.vms[0]!.log.readsCount - before;
  t.ok(readsCount < 40, `${readsCount} reads`);
  rig.log.heal(logModel.LogFault.LostAnswer);
  await rig[Symbol.asyncDispose]();
});

tap.test(
  "a new VM loads a key from a snapshot after its records were truncated from the log",
  async (t) => {
    const rig = new callsFleet.CallsFleet();
    const first = rig.start("vm-0", "dc-a", { snapshotEveryRecords: 10 });
    await rig.clock.runForMs(1_000);
    for (let index = 0; index < 10; index += 1) {
      await rig.settle(first.calls.call(rig.request(`key-${index}`)));
    }
    await rig.clock.runForMs(30_000);
    const { snapshotOffset } = first.calls.describe().follower;
    t.ok(snapshotOffset > 0);
    rig.log.truncateBefore(platform.LogStream.Calls, snapshotOffset + 1);
    rig.kill(first);
    const fresh = rig.start("vm-1", "dc-b");
    const again = await rig.settle(fresh.calls.call(rig.request("key-3")));
    t.equal(summarise(again), "execution key-3");
    t.equal(rig.service.maxExecutions, 1);
  },
);

tap.test(
  "an intent that reaches the log after the deadline neither runs the call nor blocks the key",
  async (t) => {
    const rig = await startFleet("dc-a", "dc-b");
    const [left, right] = rig.vms;
    left!.log.lateByMs = 5_000;
    const late = await rig.settle(left!.calls.call(rig.request("key-1", "body", {}, 1_000)));
    t.equal(summarise(late), "not-run");
    left!.log.lateByMs = 0;
    await rig.clock.runForMs(20_000);
    t.notOk(rig.service.executionsByKey.has("key-1"));
    const next = await rig.settle(right!.calls.call(rig.request("key-1")));
    t.equal(summarise(next), "execution key-1");
    await rig[Symbol.asyncDispose]();
  },
);

import tap from "tap";

import * as callsFleet from "../../../standins/calls/index.js";
import * as logModel from "../../../standins/log/model/index.js";
import * as serviceClients from "../../../standins/service/clients/index.js";
import * as stepError from "../../_lib/stepError/index.js";
import * as catalogue from "../../catalogue/index.js";
import * as platform from "../../controlPlane/types.js";

const { getOutcome } = callsFleet;
const { ServiceFault } = serviceClients;

async function startFleet(...dataCentres: string[]): Promise<callsFleet.CallsFleet> {
  const fleet = new callsFleet.CallsFleet();
  for (const [index, dataCentre] of dataCentres.entries()) fleet.start(`vm-${index}`, dataCentre);
  await fleet.clock.runForMs(1_000);
  return fleet;
}

tap.test(
  "a second call with the same key at another VM returns the first call's answer",
  async (t) => {
    const fleet = await startFleet("dc-a", "dc-b");
    const [left, right] = fleet.vms;
    const first = await fleet.settle(left!.calls.call(fleet.request("key-1")));
    const second = await fleet.settle(right!.calls.call(fleet.request("key-1")));
    t.equal(getOutcome(first), "execution key-1");
    t.equal(getOutcome(second), "execution key-1");
    t.equal(fleet.service.executionsByKey.get("key-1"), 1);
    await fleet[Symbol.asyncDispose]();
  },
);

tap.test(
  "concurrent calls with one key at all VMs run once and return the same answer",
  async (t) => {
    const fleet = await startFleet("dc-a", "dc-a", "dc-b", "dc-b");
    fleet.service.latencyMs = 700;
    const work = fleet.vms.map((vm) => vm.calls.call(fleet.request("key-1")));
    const results = await fleet.settle(Promise.all(work));
    t.same(new Set(results.map(getOutcome)), new Set(["execution key-1"]));
    t.equal(fleet.service.executionsByKey.get("key-1"), 1);
    await fleet[Symbol.asyncDispose]();
  },
);

tap.test("a call with a used key and another body is refused as not run", async (t) => {
  const fleet = await startFleet("dc-a");
  await fleet.settle(fleet.vms[0]!.calls.call(fleet.request("key-1", "one")));
  const other = await fleet.settle(fleet.vms[0]!.calls.call(fleet.request("key-1", "two")));
  t.equal(getOutcome(other), "not-run");
  t.equal(fleet.service.executionsByKey.get("key-1"), 1);
  await fleet[Symbol.asyncDispose]();
});

tap.test("after a lost append response the log is read and the call runs once", async (t) => {
  const fleet = await startFleet("dc-a");
  fleet.log.inject(logModel.LogFault.LostAnswer);
  const result = await fleet.settle(fleet.vms[0]!.calls.call(fleet.request("key-1")));
  fleet.log.heal(logModel.LogFault.LostAnswer);
  t.equal(getOutcome(result), "execution key-1");
  t.equal(fleet.service.executionsByKey.get("key-1"), 1);
  await fleet[Symbol.asyncDispose]();
});

tap.test(
  "after a lost answer of the service the outcome is unknown and the call is not repeated",
  async (t) => {
    const fleet = await startFleet("dc-a", "dc-b");
    fleet.service.fault = ServiceFault.LostAnswer;
    const first = await fleet.settle(fleet.vms[0]!.calls.call(fleet.request("key-1")));
    fleet.service.fault = ServiceFault.None;
    const second = await fleet.settle(fleet.vms[1]!.calls.call(fleet.request("key-1")));
    t.equal(getOutcome(first), "unknown");
    t.equal(getOutcome(second), "unknown");
    t.equal(fleet.service.executionsByKey.get("key-1"), 1);
    await fleet[Symbol.asyncDispose]();
  },
);

tap.test("the outcome of a call to a silent service is resolved by a status lookup", async (t) => {
  const fleet = await startFleet("dc-a");
  fleet.service.fault = ServiceFault.Silent;
  const request = fleet.request("key-1", "body", { statusPath: "/status/{key}" });
  const result = await fleet.settle(fleet.vms[0]!.calls.call(request));
  t.equal(getOutcome(result), "execution key-1");
  t.equal(fleet.service.executionsByKey.get("key-1"), 1);
  await fleet[Symbol.asyncDispose]();
});

tap.test(
  "a key held by a dead VM is resolved by a status lookup, and stays unknown without one",
  async (t) => {
    const fleet = await startFleet("dc-a", "dc-b");
    fleet.service.fault = ServiceFault.Silent;
    void fleet.vms[0]!.calls.call(fleet.request("key-1", "body", {}, 600_000));
    await fleet.clock.runForMs(500);
    const [left, right] = fleet.vms;
    fleet.kill(left!);
    fleet.service.fault = ServiceFault.None;
    const withoutLookup = await fleet.settle(right!.calls.call(fleet.request("key-1")));
    const lookupRequest = fleet.request("key-1", "body", { statusPath: "/status/{key}" });
    const settled = await fleet.settle(right!.calls.call(lookupRequest));
    t.equal(getOutcome(withoutLookup), "unknown");
    t.equal(getOutcome(settled), "execution key-1");
    t.equal(fleet.service.executionsByKey.get("key-1"), 1);
  },
);

tap.test(
  "a VM paused between intent and dispatch until after the deadline never runs the call",
  async (t) => {
    const fleet = await startFleet("dc-a", "dc-b");
    const [left, right] = fleet.vms;
    const late = left!.calls.call(fleet.request("key-1", "body", {}, 1_000));
    await fleet.clock.runForMs(1);
    left!.gate.pause();
    await fleet.clock.runForMs(30_000);
    const other = fleet.settle(right!.calls.call(fleet.request("key-1")));
    t.equal(getOutcome(await other), "unknown", "the paused VM's attempt holds the key");
    left!.gate.resume();
    t.equal(getOutcome(await fleet.settle(late)), "not-run");
    const next = await fleet.settle(right!.calls.call(fleet.request("key-1")));
    t.equal(getOutcome(next), "execution key-1", "the paused VM has released its attempt");
    t.equal(fleet.service.executionsByKey.get("key-1"), 1);
    await fleet[Symbol.asyncDispose]();
  },
);

tap.test("a call to an unreachable service releases the key for the next call", async (t) => {
  const fleet = await startFleet("dc-a", "dc-b");
  fleet.service.fault = ServiceFault.Unreachable;
  const refused = await fleet.settle(fleet.vms[0]!.calls.call(fleet.request("key-1")));
  fleet.service.fault = ServiceFault.None;
  const next = await fleet.settle(fleet.vms[1]!.calls.call(fleet.request("key-1")));
  t.equal(getOutcome(refused), "not-run");
  t.equal(getOutcome(next), "execution key-1");
  await fleet[Symbol.asyncDispose]();
});

tap.test(
  "while the log is down a call waits or is refused, depending on its entry's policy",
  async (t) => {
    const fleet = await startFleet("dc-a");
    const { calls } = fleet.vms[0]!;
    fleet.log.inject(logModel.LogFault.Down);
    const refuse = { logOutage: catalogue.LogOutagePolicy.Refuse };
    t.equal(
      getOutcome(await fleet.settle(calls.call(fleet.request("key-1", "b", refuse)))),
      "not-run",
    );
    const waiting = calls.call(fleet.request("key-2", "b", {}, 20_000));
    await fleet.clock.runForMs(5_000);
    fleet.log.heal(logModel.LogFault.Down);
    t.equal(getOutcome(await fleet.settle(waiting)), "execution key-2");
    await fleet[Symbol.asyncDispose]();
  },
);

tap.test(
  "a data centre partitioned from the log and the other VMs refuses calls as not run",
  async (t) => {
    const fleet = await startFleet("dc-a", "dc-b");
    const [left, right] = fleet.vms;
    right!.log.isPartitioned = true;
    fleet.hub.cut("vm-0", "vm-1");
    const [connected, partitioned] = await fleet.settle(
      Promise.all([
        left!.calls.call(fleet.request("key-1")),
        right!.calls.call(fleet.request("key-1")),
      ]),
    );
    t.equal(getOutcome(connected), "execution key-1");
    t.equal(getOutcome(partitioned), "not-run");
    right!.log.isPartitioned = false;
    const healed = await fleet.settle(right!.calls.call(fleet.request("key-1")));
    t.equal(getOutcome(healed), "execution key-1");
    t.equal(fleet.service.executionsByKey.get("key-1"), 1);
    await fleet[Symbol.asyncDispose]();
  },
);

tap.test("a call without a key is dispatched once, also while the log is down", async (t) => {
  const fleet = await startFleet("dc-a");
  fleet.log.inject(logModel.LogFault.Down);
  fleet.service.fault = ServiceFault.LostAnswer;
  const request = fleet.request(null, "body", { keyRequired: false });
  t.equal(getOutcome(await fleet.settle(fleet.vms[0]!.calls.call(request))), "unknown");
  t.equal(fleet.service.attemptsCount, 1);
  const required = fleet.request(null);
  t.equal(getOutcome(await fleet.settle(fleet.vms[0]!.calls.call(required))), "not-run");
});

tap.test("intents of concurrent calls are appended in groups", async (t) => {
  const fleet = await startFleet("dc-a");
  const before = fleet.log.appendsCount;
  const work = Array.from({ length: 500 }, (_, index) =>
    fleet.vms[0]!.calls.call(fleet.request(`key-${index}`)),
  );
  const results = await fleet.settle(Promise.all(work));
  t.ok(results.every((result) => result.isOk()));
  t.equal(fleet.service.maxExecutions, 1);
  t.ok(fleet.log.appendsCount - before <= 30, `${fleet.log.appendsCount - before} appends`);
  await fleet[Symbol.asyncDispose]();
});

tap.test("lost responses to group appends are resolved by few reads of the log", async (t) => {
  const fleet = await startFleet("dc-a");
  fleet.log.inject(logModel.LogFault.LostAnswer);
  const before = fleet.vms[0]!.log.readsCount;
  const work = Array.from({ length: 200 }, (_, index) =>
    fleet.vms[0]!.calls.call(fleet.request(`key-${index}`)),
  );
  const results = await fleet.settle(Promise.all(work));
  t.ok(results.every((result) => result.isOk()));
  const readsCount = fleet.vms[0]!.log.readsCount - before;
  t.ok(readsCount < 40, `${readsCount} reads`);
  fleet.log.heal(logModel.LogFault.LostAnswer);
  await fleet[Symbol.asyncDispose]();
});

tap.test(
  "a new VM loads a key from a snapshot after its records were truncated from the log",
  async (t) => {
    const fleet = new callsFleet.CallsFleet();
    const first = fleet.start("vm-0", "dc-a", { snapshotEveryRecords: 10 });
    await fleet.clock.runForMs(1_000);
    for (let index = 0; index < 10; index += 1) {
      await fleet.settle(first.calls.call(fleet.request(`key-${index}`)));
    }
    await fleet.clock.runForMs(30_000);
    const { snapshotOffset } = first.calls.describe().follower;
    t.ok(snapshotOffset > 0);
    fleet.log.truncateBefore(platform.LogStream.Calls, snapshotOffset + 1);
    fleet.kill(first);
    const fresh = fleet.start("vm-1", "dc-b");
    const again = await fleet.settle(fresh.calls.call(fleet.request("key-3")));
    t.equal(getOutcome(again), "execution key-3");
    t.equal(fleet.service.maxExecutions, 1);
  },
);

tap.test(
  "an intent that reaches the log after the deadline neither runs the call nor blocks the key",
  async (t) => {
    const fleet = await startFleet("dc-a", "dc-b");
    const [left, right] = fleet.vms;
    left!.log.appendDelayMs = 5_000;
    const late = await fleet.settle(left!.calls.call(fleet.request("key-1", "body", {}, 1_000)));
    t.equal(getOutcome(late), "not-run");
    left!.log.appendDelayMs = 0;
    await fleet.clock.runForMs(20_000);
    t.notOk(fleet.service.executionsByKey.has("key-1"));
    const next = await fleet.settle(right!.calls.call(fleet.request("key-1")));
    t.equal(getOutcome(next), "execution key-1");
    await fleet[Symbol.asyncDispose]();
  },
);

// Guards against a status that tells the caller to send a call again, although the service has run it.
for (const statusCode of [408, 421, 429, 503]) {
  tap.test(`a ${statusCode} of a service that has run a call promises nothing`, async (t) => {
    const fleet = await startFleet("dc-a", "dc-b");
    fleet.service.answerWith = { statusCode };
    const [left, right] = fleet.vms;
    for (const [vm, key] of [
      [left!, "key-1"],
      [right!, "key-1"],
      [left!, null],
    ] as const) {
      const request = fleet.request(key, "body", { keyRequired: key !== null });
      const result = await fleet.settle(vm.calls.call(request));
      t.equal(getOutcome(result), "unknown");
      t.equal(result.isErr() && result.error.code, stepError.ErrorCode.BackendFailed);
    }
    t.equal(fleet.service.executionsByKey.get("key-1"), 1);
    await fleet[Symbol.asyncDispose]();
  });
}

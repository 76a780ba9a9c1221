import tap from "tap";

import * as callsFleet from "../../../standins/calls/index.js";
import * as serviceClients from "../../../standins/service/clients/index.js";

const { ServiceFault } = serviceClients;

/** Time within which the key of a call that threw an error has to be usable again. */
const USABLE_MS = 1_000;

const LOOKED_UP = { statusPath: "/status/{key}" };

async function startFleet(): Promise<callsFleet.CallsFleet> {
  const fleet = new callsFleet.CallsFleet();
  for (const name of ["vm-0", "vm-1"]) fleet.start(name);
  await fleet.clock.runForMs(1_000);
  return fleet;
}

/** Counters and traced steps at which an error is thrown: before, in and after the dispatch. */
const STEPS = [
  "calls.appends",
  "calls.claims",
  "call.claim_live",
  "call.dispatch_answered",
  "calls.finished",
];

// Guards against a key that stays held for ever, so that callers are told "outcome unknown" though the service has run
// the call and is sound.
for (const step of STEPS) {
  tap.test(`the key of a call that threw an error at ${step} is usable at once`, async (t) => {
    const fleet = await startFleet();
    const [first, second] = fleet.vms as [callsFleet.CallsVm, callsFleet.CallsVm];
    fleet.counters.throwsAt = step;
    const failed = first.calls.call(fleet.request("key-1", "body", LOOKED_UP)).catch(() => null);
    await fleet.settle(failed);
    fleet.counters.throwsAt = null;
    const repeated = second.calls.call(fleet.request("key-1", "body", LOOKED_UP));
    const answer = await fleet.settle(repeated, USABLE_MS);
    t.equal(callsFleet.getOutcome(answer), "execution key-1");
    t.equal(fleet.service.executionsByKey.get("key-1"), 1, "run once");
    await fleet[Symbol.asyncDispose]();
  });
}

tap.test("a call whose server's client throws an error is looked up, and runs once", async (t) => {
  const fleet = await startFleet();
  const [first, second] = fleet.vms as [callsFleet.CallsVm, callsFleet.CallsVm];
  fleet.service.fault = ServiceFault.Throws;
  const called = first.calls.call(fleet.request("key-1", "body", LOOKED_UP));
  t.equal(callsFleet.getOutcome(await fleet.settle(called)), "execution key-1");
  const unlooked = await fleet.settle(first.calls.call(fleet.request("key-2")));
  t.equal(callsFleet.getOutcome(unlooked), "unknown");
  fleet.service.fault = ServiceFault.None;
  const repeated = second.calls.call(fleet.request("key-2", "body", LOOKED_UP));
  t.equal(callsFleet.getOutcome(await fleet.settle(repeated, USABLE_MS)), "execution key-2");
  t.equal(fleet.service.maxExecutions, 1);
  await fleet[Symbol.asyncDispose]();
});

// The log's readers drop a record that they cannot parse.
for (const [name, odd] of [
  ["a status of no answer", { statusCode: 600 }],
  ["a content type too long for the log", { contentType: `text/${"x".repeat(300)}` }],
] as const) {
  tap.test(`the key of a call that was answered with ${name} is not held`, async (t) => {
    const fleet = await startFleet();
    fleet.service.answerWith = odd;
    const [first, second] = fleet.vms as [callsFleet.CallsVm, callsFleet.CallsVm];
    await fleet.settle(first.calls.call(fleet.request("key-1")));
    const repeated = second.calls.call(fleet.request("key-1"));
    const answer = await fleet.settle(repeated, USABLE_MS);
    t.equal(callsFleet.getOutcome(answer), "ran", "it has run, and its answer is not stored");
    t.equal(fleet.service.executionsByKey.get("key-1"), 1);
    await fleet[Symbol.asyncDispose]();
  });
}

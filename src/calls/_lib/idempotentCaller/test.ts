import tap from "tap";

import * as callsFleet from "../../../../standins/calls/index.js";
import * as serviceClients from "../../../../standins/service/clients/index.js";
import * as catalogue from "../../../catalogue/index.js";
import type * as types from "../../types.js";

const { ServiceFault } = serviceClients;
const IDEMPOTENT = { semantics: catalogue.CallSemantics.Idempotent, keyRequired: false };

async function startFleet(): Promise<callsFleet.CallsFleet> {
  const rig = new callsFleet.CallsFleet();
  rig.start("vm-0", "dc-a");
  await rig.clock.runForMs(1_000);
  return rig;
}

/** Calls at an even pace; resolves when all have ended. */
async function callSteadily(
  rig: callsFleet.CallsFleet,
  count: number,
  everyMs: number,
  changes: Partial<types.CallRequest> = {},
): Promise<string[]> {
  const ended: Promise<string>[] = [];
  for (let index = 0; index < count; index += 1) {
    const request = { ...rig.request(null, "body", IDEMPOTENT, 2_000), ...changes };
    ended.push(rig.vms[0]!.calls.call(request).then(callsFleet.summarise));
    await rig.clock.runForMs(everyMs);
  }
  return rig.settle(Promise.all(ended));
}

tap.test("while a service is down attempts stay near one a request", async (t) => {
  const rig = await startFleet();
  rig.service.fault = ServiceFault.Overloaded;
  await callSteadily(rig, 2_000, 10);
  const attemptsPerRequest = rig.service.attemptsCount / 2_000;
  t.comment(`${attemptsPerRequest.toFixed(3)} attempts a request while the service is down`);
  t.ok(attemptsPerRequest < 1.15, `${attemptsPerRequest} attempts a request`);
  await rig[Symbol.asyncDispose]();
});

tap.test("a request whose retries an earlier hop has used up is tried once", async (t) => {
  const rig = await startFleet();
  rig.service.fault = ServiceFault.LostAnswer;
  await callSteadily(rig, 1, 10, { retriesLeft: 0 });
  t.equal(rig.service.attemptsCount, 1);
  await rig[Symbol.asyncDispose]();
});

tap.test("a failing server is ejected, probed and taken back", async (t) => {
  const rig = await startFleet();
  rig.service.faultByServer.set("ledger-a", ServiceFault.Overloaded);
  await callSteadily(rig, 100, 20);
  const healthOf = (): string[] => rig.vms[0]!.calls.describe().servers.map(({ health }) => health);
  t.same(healthOf().sort(), ["ejected", "healthy"]);
  const attemptsBefore = rig.service.attemptsByServer.get("ledger-a")!;
  await callSteadily(rig, 500, 20);
  const probesCount = rig.service.attemptsByServer.get("ledger-a")! - attemptsBefore;
  t.ok(probesCount >= 1 && probesCount <= 4, `${probesCount} probes in 10 s`);
  rig.service.faultByServer.delete("ledger-a");
  await callSteadily(rig, 1_000, 20);
  t.same(healthOf(), ["healthy", "healthy"]);
  await rig[Symbol.asyncDispose]();
});

tap.test("the own data centre's server is used while it answers", async (t) => {
  const rig = await startFleet();
  await callSteadily(rig, 50, 20);
  t.equal(rig.service.attemptsByServer.get("ledger-a"), 50);
  await rig[Symbol.asyncDispose]();
});

tap.test("a slow answer is hedged at another server within the budget", async (t) => {
  const rig = await startFleet();
  await callSteadily(rig, 100, 20);
  rig.service.latencyByServer.set("ledger-a", 1_000);
  const results = await callSteadily(rig, 20, 20);
  t.ok(results.every((result) => result.startsWith("execution")));
  const hedgesCount = rig.counters.countOf("calls.hedges");
  t.ok(hedgesCount > 0 && hedgesCount <= 11, `${hedgesCount} hedges`);
  await rig[Symbol.asyncDispose]();
});

tap.test("a draining or leaving server gets no new calls at once", async (t) => {
  const rig = await startFleet();
  const server = catalogue.listServices(rig.catalogue.current(), "ledger")[0]!;
  rig.catalogue.put({ ...server, state: catalogue.DesiredState.Draining });
  await callSteadily(rig, 20, 20);
  t.equal(rig.service.attemptsByServer.get(server.name), undefined);
  rig.catalogue.put(server);
  rig.vms[0]!.calls.markLeaving(server.name);
  await callSteadily(rig, 20, 20);
  t.equal(rig.service.attemptsByServer.get(server.name), undefined, "said to leave");
  rig.catalogue.put(server);
  await callSteadily(rig, 20, 20);
  t.equal(rig.service.attemptsByServer.get(server.name), 20, "listed anew");
  await rig[Symbol.asyncDispose]();
});

tap.test("an unreachable service is refused as not run", async (t) => {
  const rig = await startFleet();
  rig.service.fault = ServiceFault.Unreachable;
  t.same(await callSteadily(rig, 1, 10), ["not-run"]);
  await rig[Symbol.asyncDispose]();
});

tap.test("idempotent calls may use pooled connections, once-only ones may not", async (t) => {
  const rig = await startFleet();
  await callSteadily(rig, 10, 10);
  t.equal(rig.service.idempotentCount, 10);
  const once = rig.vms[0]!.calls.call(rig.request("key-1", "body", {}, 2_000));
  await rig.settle(once);
  t.equal(rig.service.attemptsCount, 11);
  t.equal(rig.service.idempotentCount, 10);
  await rig[Symbol.asyncDispose]();
});

import tap from "tap";

import * as callsFleet from "../../../../standins/calls/index.js";
import * as serviceClients from "../../../../standins/service/clients/index.js";
import * as catalogue from "../../../catalogue/index.js";
import type * as types from "../../types.js";

const { ServiceFault } = serviceClients;
const IDEMPOTENT = { semantics: catalogue.CallSemantics.Idempotent, keyRequired: false };

async function startFleet(): Promise<callsFleet.CallsFleet> {
  const fleet = new callsFleet.CallsFleet();
  fleet.start("vm-0", "dc-a");
  await fleet.clock.runForMs(1_000);
  return fleet;
}

/** Sends calls at a fixed interval; resolves when all have ended. */
async function callAtInterval(
  fleet: callsFleet.CallsFleet,
  count: number,
  everyMs: number,
  changes: Partial<types.CallRequest> = {},
): Promise<string[]> {
  const ended: Promise<string>[] = [];
  for (let index = 0; index < count; index += 1) {
    const request = { ...fleet.request(null, "body", IDEMPOTENT, 2_000), ...changes };
    ended.push(fleet.vms[0]!.calls.call(request).then(callsFleet.getOutcome));
    await fleet.clock.runForMs(everyMs);
  }
  return fleet.settle(Promise.all(ended));
}

tap.test("while a service is down there are fewer than 1.15 attempts per request", async (t) => {
  const fleet = await startFleet();
  fleet.service.fault = ServiceFault.Overloaded;
  await callAtInterval(fleet, 2_000, 10);
  const attemptsPerRequest = fleet.service.attemptsCount / 2_000;
  t.comment(`${attemptsPerRequest.toFixed(3)} attempts per request while the service is down`);
  t.ok(attemptsPerRequest < 1.15, `${attemptsPerRequest} attempts per request`);
  await fleet[Symbol.asyncDispose]();
});

tap.test("a request without retries left from an earlier hop is attempted once", async (t) => {
  const fleet = await startFleet();
  fleet.service.fault = ServiceFault.LostAnswer;
  await callAtInterval(fleet, 1, 10, { retriesLeft: 0 });
  t.equal(fleet.service.attemptsCount, 1);
  await fleet[Symbol.asyncDispose]();
});

tap.test("a failing server is ejected, probed and used again once it answers", async (t) => {
  const fleet = await startFleet();
  fleet.service.faultByServer.set("ledger-a", ServiceFault.Overloaded);
  await callAtInterval(fleet, 100, 20);
  const healthOf = (): string[] =>
    fleet.vms[0]!.calls.describe().servers.map(({ health }) => health);
  t.same(healthOf().sort(), ["ejected", "healthy"]);
  const attemptsBefore = fleet.service.attemptsByServer.get("ledger-a")!;
  await callAtInterval(fleet, 500, 20);
  const probesCount = fleet.service.attemptsByServer.get("ledger-a")! - attemptsBefore;
  t.ok(probesCount >= 1 && probesCount <= 4, `${probesCount} probes in 10 s`);
  fleet.service.faultByServer.delete("ledger-a");
  await callAtInterval(fleet, 1_000, 20);
  t.same(healthOf(), ["healthy", "healthy"]);
  await fleet[Symbol.asyncDispose]();
});

tap.test("the server in the VM's own data centre is used while it answers", async (t) => {
  const fleet = await startFleet();
  await callAtInterval(fleet, 50, 20);
  t.equal(fleet.service.attemptsByServer.get("ledger-a"), 50);
  await fleet[Symbol.asyncDispose]();
});

tap.test(
  "calls to a slow server are hedged at another server within the hedge budget",
  async (t) => {
    const fleet = await startFleet();
    await callAtInterval(fleet, 100, 20);
    fleet.service.latencyMsByServer.set("ledger-a", 1_000);
    const results = await callAtInterval(fleet, 20, 20);
    t.ok(results.every((result) => result.startsWith("execution")));
    const hedgesCount = fleet.counters.countOf("calls.hedges");
    t.ok(hedgesCount > 0 && hedgesCount <= 11, `${hedgesCount} hedges`);
    await fleet[Symbol.asyncDispose]();
  },
);

tap.test("a draining or leaving server receives no new calls from then on", async (t) => {
  const fleet = await startFleet();
  const server = catalogue.listServersOfService(fleet.catalogue.current(), "ledger")[0]!;
  fleet.catalogue.put({ ...server, state: catalogue.DesiredState.Draining });
  await callAtInterval(fleet, 20, 20);
  t.equal(fleet.service.attemptsByServer.get(server.name), undefined);
  fleet.catalogue.put(server);
  fleet.vms[0]!.calls.markLeaving(server.name);
  await callAtInterval(fleet, 20, 20);
  t.equal(fleet.service.attemptsByServer.get(server.name), undefined, "marked as leaving");
  fleet.catalogue.put(server);
  await callAtInterval(fleet, 20, 20);
  t.equal(fleet.service.attemptsByServer.get(server.name), 20, "listed again in the catalogue");
  await fleet[Symbol.asyncDispose]();
});

tap.test("a call to an unreachable service is refused as not run", async (t) => {
  const fleet = await startFleet();
  fleet.service.fault = ServiceFault.Unreachable;
  t.same(await callAtInterval(fleet, 1, 10), ["not-run"]);
  await fleet[Symbol.asyncDispose]();
});

tap.test("only idempotent calls may use pooled connections", async (t) => {
  const fleet = await startFleet();
  await callAtInterval(fleet, 10, 10);
  t.equal(fleet.service.idempotentCount, 10);
  const once = fleet.vms[0]!.calls.call(fleet.request("key-1", "body", {}, 2_000));
  await fleet.settle(once);
  t.equal(fleet.service.attemptsCount, 11);
  t.equal(fleet.service.idempotentCount, 10);
  await fleet[Symbol.asyncDispose]();
});

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

/** Sends calls at a fixed interval; resolves when all have ended. */
async function callAtInterval(
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

tap.test("while a service is down there are fewer than 1.15 attempts per request", async (t) => {
  const rig = await startFleet();
  rig.service.fault = ServiceFault.Overloaded;
  await callAtInterval(rig, 2_000, 10);
  const attemptsPerRequest = rig.service.attemptsCount / 2_000;
  t.comment(`${attemptsPerRequest.toFixed(3)} attempts per request while the service is down`);
  t.ok(attemptsPerRequest < 1.15, `${attemptsPerRequest} attempts per request`);
  await rig[Symbol.asyncDispose]();
});

tap.test("a request without retries left from an earlier hop is attempted once", async (t) => {
  const rig = await startFleet();
  rig.service.fault = ServiceFault.LostAnswer;
  await callAtInterval(rig, 1, 10, { retriesLeft: 0 });
  t.equal(rig.service.attemptsCount, 1);
  await rig[Symbol.asyncDispose]();
});

tap.test("a failing server is ejected, probed and used again once it answers", async (t) => {
  const rig = await startFleet();
  rig.service.faultByServer.set("ledger-a", ServiceFault.Overloaded);
  await callAtInterval(rig, 100, 20);
  const healthOf = (): string[] => rig.vms[0]!.calls.describe().servers.map(({ health }) => health);
  t.same(healthOf().sort(), ["ejected", "healthy"]);
  const attemptsBefore = rig.service.attemptsByServer.get("ledger-a")!;
  await callAtInterval(rig, 500, 20);
  const probesCount = rig.service.attemptsByServer.get("ledger-a")! - attemptsBefore;
  t.ok(probesCount >= 1 && probesCount <= 4, `${probesCount} probes in 10 s`);
  rig.service.faultByServer.delete("ledger-a");
  await callAtInterval(rig, 1_000, 20);
  t.same(healthOf(), ["healthy", "healthy"]);
  await rig[Symbol.asyncDispose]();
});

tap.test("the server in the VM's own data centre is used while it answers", async (t) => {
  const rig = await startFleet();
  await callAtInterval(rig, 50, 20);
  t.equal(rig.service.attemptsByServer.get("ledger-a"), 50);
  await rig[Symbol.asyncDispose]();
});

tap.test(
  "calls to a slow server are hedged at another server within the hedge budget",
  async (t) => {
    const rig = await startFleet();
    await callAtInterval(rig, 100, 20);
    rig.service.latencyByServer.set("ledger-a", 1_000);
    const results = await callAtInterval(rig, 20, 20);
    t.ok(results.every((result) => result.startsWith("execution")));
    const hedgesCount = rig.counters.countOf("calls.hedges");
    t.ok(hedgesCount > 0 && hedgesCount <= 11, `${hedgesCount} hedges`);
    await rig[Symbol.asyncDispose]();
  },
);

tap.test("a draining or leaving server receives no new calls from then on", async (t) => {
  const rig = await startFleet();
  const server = catalogue.listServices(rig.catalogue.current(), "ledger")[0]!;
  rig.catalogue.put({ ...server, state: catalogue.DesiredState.Draining });
  await callAtInterval(rig, 20, 20);
  t.equal(rig.service.attemptsByServer.get(server.name), undefined);
  rig.catalogue.put(server);
  rig.vms[0]!.calls.markLeaving(server.name);
  await callAtInterval(rig, 20, 20);
  t.equal(rig.service.attemptsByServer.get(server.name), undefined, "marked as leaving");
  rig.catalogue.put(server);
  await callAtInterval(rig, 20, 20);
  t.equal(rig.service.attemptsByServer.get(server.name), 20, "listed again in the catalogue");
  await rig[Symbol.asyncDispose]();
});

tap.test("a call to an unreachable service is refused as not run", async (t) => {
  const rig = await startFleet();
  rig.service.fault = ServiceFault.Unreachable;
  t.same(await callAtInterval(rig, 1, 10), ["not-run"]);
  await rig[Symbol.asyncDispose]();
});

tap.test("only idempotent calls may use pooled connections", async (t) => {
  const rig = await startFleet();
  await callAtInterval(rig, 10, 10);
  t.equal(rig.service.idempotentCount, 10);
  const once = rig.vms[0]!.calls.call(rig.request("key-1", "body", {}, 2_000));
  await rig.settle(once);
  t.equal(rig.service.attemptsCount, 11);
  t.equal(rig.service.idempotentCount, 10);
  await rig[Symbol.asyncDispose]();
});

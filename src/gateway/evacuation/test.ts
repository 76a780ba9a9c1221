import tap, { type Test } from "tap";

import * as names from "../../../platform/names/index.js";
import * as backendServers from "../../../standins/platform/backendServer/index.js";
import * as gatewayFleets from "../../../standins/platform/gatewayFleet/index.js";
import * as diagnostics from "../../diagnostics/index.js";
import * as testFleets from "../_lib/testFleet/index.js";

const { ENGINE_SERVICE, PLAIN_SERVICE } = gatewayFleets;
const { waitUntil } = testFleets;

/** Time from an evacuation's confirmation to the last request that reaches the data centre. */
const EVACUATE_MS = 5_000;

/** Time from the end of an evacuation within which the servers there get work again. */
const TAKE_BACK_MS = 3_000;

const VMS_COUNT = 2;
const EVENTS_COUNT = 40;

interface Fleet {
  readonly fleet: gatewayFleets.GatewayFleet;
  readonly servers: readonly backendServers.BackendServer[];
}

/** Starts two gateways in two data centres, and a server of each service in each of the given ones. */
async function startFleet(t: Test, dataCentres: readonly string[]): Promise<Fleet> {
  const fleet = await testFleets.startReadyFleet(t);
  await fleet.addGateway("dc-b");
  await testFleets.addReadyGateways(fleet, VMS_COUNT);
  const started: backendServers.BackendServer[] = [];
  const behaviours = {
    [PLAIN_SERVICE]: backendServers.answerCompletely("done"),
    [ENGINE_SERVICE]: backendServers.stream({ eventsCount: EVENTS_COUNT, gapMs: 10 }),
  };
  for (const dataCentre of dataCentres) {
    for (const [service, behaviour] of Object.entries(behaviours)) {
      fleet.dataCentres.set(`${service}-${dataCentre}`, dataCentre);
      started.push(await fleet.addServer(`${service}-${dataCentre}`, service, behaviour));
    }
  }
  await testFleets.waitUntilServersKnown(fleet, VMS_COUNT * 2 * dataCentres.length);
  return { fleet, servers: started };
}

function order({ fleet }: Fleet, isEvacuated: boolean, dataCentre = "dc-b"): void {
  const key = `evacuate/${dataCentre}`;
  fleet.store.put(names.TOPIC_NAMES.configuration, key, isEvacuated ? {} : null);
}

const REQUESTS = [
  { path: "/lookup/" },
  { path: "/file/", method: "POST", body: "x" },
  { path: "/draft/", ...testFleets.DRAFT_REQUEST },
];

/** Sends a request of each kind to each gateway, and returns the answers. */
function callAll({ fleet }: Fleet): Promise<readonly gatewayFleets.CallerAnswer[]> {
  const calls = [0, 1].flatMap((vm) =>
    REQUESTS.map((request) => fleet.call({ ...request, id: `${request.path}${vm}` }, vm)),
  );
  return Promise.all(calls);
}

/** Calls that the servers of data centre `dc-b` have received. */
function countCalls({ servers }: Fleet): number {
  const evacuated = servers.filter(({ id }) => id.endsWith("dc-b"));
  return evacuated.reduce((sum, { calls }) => sum + calls.length, 0);
}

function pause(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}

tap.test("servers of an evacuated data centre get nothing until it is taken back", async (t) => {
  const started = await startFleet(t, ["dc-a", "dc-b"]);
  order(started, true);
  await pause(EVACUATE_MS);
  const countBefore = countCalls(started);
  const answers = [...(await callAll(started)), ...(await callAll(started))];
  t.ok(
    answers.every(({ status, isComplete }) => status === 200 && isComplete),
    "all are served elsewhere",
  );
  t.equal(countCalls(started), countBefore);
  order(started, false);
  const endsAtMs = Date.now() + TAKE_BACK_MS;
  while (countCalls(started) === countBefore && Date.now() < endsAtMs) await callAll(started);
  t.ok(countCalls(started) > countBefore, "taken back");
});

tap.test("a VM that starts, and VMs after the history was dropped, know of it", async (t) => {
  const started = await startFleet(t, ["dc-a", "dc-b"]);
  order(started, true);
  started.fleet.store.compact(names.TOPIC_NAMES.configuration);
  await pause(EVACUATE_MS);
  const countBefore = countCalls(started);
  await started.fleet.addGateway("dc-b");
  await waitUntil(() => started.fleet.isReady(VMS_COUNT));
  for (const request of REQUESTS) await started.fleet.call({ ...request, id: "new" }, VMS_COUNT);
  await callAll(started);
  t.equal(countCalls(started), countBefore);
});

tap.test("calls are refused at once if all servers of their service are evacuated", async (t) => {
  const started = await startFleet(t, ["dc-b"]);
  order(started, true);
  await pause(EVACUATE_MS);
  const startedAtMs = Date.now();
  const answers = await callAll(started);
  t.ok(Date.now() - startedAtMs < 1_000, "at once, and not at the deadline of 20 s");
  for (const { status, headers } of answers) {
    t.equal(status, 503);
    t.ok(Number(headers["retry-after"]) > 0, "with a time to return");
  }
});

for (const isBackupEvacuated of [true, false]) {
  const place = isBackupEvacuated ? "backup" : "engine";
  tap.test(`a run whose ${place} is in an evacuated data centre is whole`, async (t) => {
    const started = await startFleet(t, ["dc-a", "dc-b"]);
    const { fleet, servers } = started;
    const engines = servers.filter(({ id }) => id.startsWith(ENGINE_SERVICE));
    const script = { eventsCount: 200, gapMs: 10 };
    for (const engine of engines) engine.setBehaviour(backendServers.stream(script));
    const answer = testFleets.requestDraft(fleet, "d1");
    await waitUntil(() => engines.some(({ runs }) => runs.includes("d1")));
    const running = engines.find(({ runs }) => runs.includes("d1"));
    const backup = engines.find((engine) => engine !== running);
    if (running === undefined || backup === undefined) throw new Error("no engine");
    order(started, true, fleet.dataCentres.get((isBackupEvacuated ? backup : running).id));
    const { DataCentreEvacuated } = diagnostics.LogEvent;
    await waitUntil(
      () =>
        fleet.log.lines.filter(({ event }) => event === DataCentreEvacuated).length >= VMS_COUNT,
    );
    if (isBackupEvacuated) fleet.register(running, ENGINE_SERVICE, "draining");
    const { body, isComplete } = await answer;
    t.ok(isComplete);
    t.equal(testFleets.parseEventIds(body).length, script.eventsCount);
    t.notOk(isBackupEvacuated && backup.calls.length > 0, "its backup got nothing");
  });
}

import tap, { type Test } from "tap";

import * as backendServers from "../../../standins/platform/backendServer/index.js";
import * as gatewayFleets from "../../../standins/platform/gatewayFleet/index.js";
import * as serverNetworks from "../../../standins/platform/serverNetwork/index.js";
import * as diagnostics from "../../diagnostics/index.js";
import * as testFleets from "../_lib/testFleet/index.js";

const { CutMode } = serverNetworks;
const { ENGINE_SERVICE, PLAIN_SERVICE } = gatewayFleets;

const EVENTS_COUNT = 5;
const CALLS_COUNT = 20;

/** Name of the gateway with index 0. */
const CUT_VM = "vm-1";

interface CutFleet {
  readonly fleet: gatewayFleets.GatewayFleet;
  readonly servers: readonly backendServers.BackendServer[];
}

/** Starts a fleet of three gateways, two plain servers and an engine. */
async function startFleet(t: Test): Promise<CutFleet> {
  const fleet = await testFleets.startReadyFleet(t);
  await testFleets.addReadyGateways(fleet, 3);
  const answer = backendServers.answerCompletely("done");
  const stream = backendServers.stream({ eventsCount: EVENTS_COUNT, gapMs: 1 });
  const servers = [
    await fleet.addServer("p1", PLAIN_SERVICE, answer),
    await fleet.addServer("p2", PLAIN_SERVICE, answer),
    await fleet.addServer("e1", ENGINE_SERVICE, stream),
  ];
  await testFleets.waitUntilServersKnown(fleet, 3 * servers.length);
  await testFleets.waitUntil(() => testFleets.isLookupServed(fleet));
  return { fleet, servers };
}

/** Makes calls one after another at the gateway that is cut off; returns their statuses. */
async function callCutVm(
  { fleet }: CutFleet,
  request: Omit<gatewayFleets.CallerRequest, "id">,
): Promise<readonly number[]> {
  const statuses: number[] = [];
  for (let index = 0; index < CALLS_COUNT; index += 1) {
    const answer = await fleet.call({ ...request, id: `${request.path}${index}` });
    statuses.push(answer.isComplete ? answer.status : 0);
  }
  return statuses;
}

const ALL_SERVED = Array.from({ length: CALLS_COUNT }, () => 200);

for (const mode of Object.values(CutMode)) {
  tap.test(`a VM cut off from all servers serves its callers (connections ${mode})`, async (t) => {
    const cutFleet = await startFleet(t);
    const { fleet, servers } = cutFleet;
    fleet.network.cut(CUT_VM, { mode, resetsOpen: true });
    t.same(await callCutVm(cutFleet, { path: "/lookup/" }), ALL_SERVED);
    t.same(await callCutVm(cutFleet, { path: "/file/", method: "POST", body: "x" }), ALL_SERVED);
    const filings = servers.flatMap(({ runs }) => runs).filter((id) => id.startsWith("/file/"));
    t.equal(filings.length, CALLS_COUNT, "each filing ran once");
    t.same(await callCutVm(cutFleet, { path: "/draft/", ...testFleets.DRAFT_REQUEST }), ALL_SERVED);
  });
}

tap.test("when a cut ends, a VM uses its own links again", async (t) => {
  const cutFleet = await startFleet(t);
  const { fleet } = cutFleet;
  fleet.network.cut(CUT_VM, { mode: CutMode.Refuse, resetsOpen: true });
  t.same(await callCutVm(cutFleet, { path: "/lookup/" }), ALL_SERVED);
  fleet.network.heal(CUT_VM);
  const { ServersUnreachable, ServersReachable } = diagnostics.LogEvent;
  await testFleets.waitUntil(() => fleet.log.lines.some(({ event }) => event === ServersReachable));
  t.same(await callCutVm(cutFleet, { path: "/lookup/" }), ALL_SERVED);
  const begun = fleet.log.lines.filter(({ event }) => event === ServersUnreachable);
  t.equal(begun.length, 1);
});

tap.test("a VM does not take its own cut for the end of a server", async (t) => {
  const cutFleet = await startFleet(t);
  const { fleet, servers } = cutFleet;
  for (let index = 0; index < 4; index += 1) {
    servers[0]?.setBehaviour(backendServers.answerLater("late", 300));
    servers[1]?.setBehaviour(backendServers.answerLater("late", 300));
    const pending = fleet.call({ path: "/lookup/", id: "same" });
    await new Promise((resolve) => setTimeout(resolve, 50));
    fleet.network.cut(CUT_VM, { mode: CutMode.Refuse, resetsOpen: true });
    t.equal((await pending).status, 200, "it is repeated through a peer");
    fleet.network.heal(CUT_VM);
  }
  const { ServerEnded } = diagnostics.LogEvent;
  t.notOk(fleet.log.lines.some(({ event }) => event === ServerEnded));
});

tap.test("if all servers of a service have ended, no VM takes that for its own cut", async (t) => {
  const cutFleet = await startFleet(t);
  const { fleet, servers } = cutFleet;
  for (const server of servers) server.crash();
  const statuses = await callCutVm(cutFleet, { path: "/lookup/" });
  t.ok(statuses.every((status) => status === 503));
  const { ServersUnreachable } = diagnostics.LogEvent;
  t.notOk(fleet.log.lines.some(({ event }) => event === ServersUnreachable));
});

tap.test("a VM whose peers are mostly cut off too is served by one that is not", async (t) => {
  const cutFleet = await startFleet(t);
  for (const name of [CUT_VM, "vm-2"])
    cutFleet.fleet.network.cut(name, { mode: CutMode.Hang, resetsOpen: false });
  t.same(await callCutVm(cutFleet, { path: "/lookup/" }), ALL_SERVED);
});

tap.test("a peer learns what a server says through its tunnel", async (t) => {
  const cutFleet = await startFleet(t);
  const { fleet, servers } = cutFleet;
  for (const name of [CUT_VM, "vm-2"])
    fleet.network.cut(name, { mode: CutMode.Refuse, resetsOpen: false });
  t.same(await callCutVm(cutFleet, { path: "/lookup/" }), ALL_SERVED);
  for (const server of servers.slice(0, 2)) server.isLeaving = true;
  await callCutVm(cutFleet, { path: "/lookup/" });
  const countCalls = (): number =>
    (servers[0]?.calls.length ?? 0) + (servers[1]?.calls.length ?? 0);
  const countBefore = countCalls();
  const answer = await fleet.call({ path: "/lookup/", id: "at-the-peer" }, 2);
  t.equal(answer.status, 503, "it sends the leaving servers nothing either");
  t.equal(countCalls(), countBefore);
});

tap.test("when a caller leaves, its call through a tunnel is closed at the server", async (t) => {
  const cutFleet = await startFleet(t);
  const { fleet, servers } = cutFleet;
  fleet.network.cut(CUT_VM, { mode: CutMode.Refuse, resetsOpen: false });
  t.same(await callCutVm(cutFleet, { path: "/lookup/" }), ALL_SERVED);
  let closedCount = 0;
  for (const server of servers) {
    server.setBehaviour((call, response) => {
      server.runs.push(call.id);
      response.once("close", () => (closedCount += 1));
    });
  }
  const caller = new AbortController();
  const pending = fleet.call({ path: "/file/", id: "left", signal: caller.signal });
  await testFleets.waitUntil(() => servers.some(({ runs }) => runs.includes("left")));
  caller.abort();
  await t.rejects(pending);
  await testFleets.waitUntil(() => closedCount === 1);
});

tap.test("an answer without a length that is reset behind a tunnel is not complete", async (t) => {
  const cutFleet = await startFleet(t);
  const { fleet, servers } = cutFleet;
  fleet.network.cut(CUT_VM, { mode: CutMode.Refuse, resetsOpen: false });
  t.same(await callCutVm(cutFleet, { path: "/lookup/" }), ALL_SERVED);
  for (const server of servers) server.setBehaviour(backendServers.resetMidAnswer("part"));
  const answer = await fleet.call({ path: "/file/", id: "cut-short", method: "POST", body: "x" });
  t.equal(answer.status, 502);
});

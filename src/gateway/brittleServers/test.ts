import tap, { type Test } from "tap";

import * as backendServers from "../../../standins/platform/backendServer/index.js";
import * as brittleBehaviours from "../../../standins/platform/brittleBehaviour/index.js";
import * as gatewayFleets from "../../../standins/platform/gatewayFleet/index.js";
import * as diagnostics from "../../diagnostics/index.js";
import * as testFleets from "../_lib/testFleet/index.js";

const GATEWAYS_COUNT = 3;

const SLOTS_COUNT = 4;
const WORK_MS = 40;
const DOWN_MS = 400;
const MAX_REJECTIONS_PER_SECOND = 5;

/** Rounds of calls at each gateway, and the pause between two: half as much again as can be served. */
const ROUNDS_COUNT = 150;
const ROUND_MS = 10;

/** Falls that the platform allows a service while it is brittle. */
const MAX_FALLS_COUNT = 2;

/** Starts gateways with two brittle servers, and makes more lookups than these can serve. */
async function overload(t: Test): Promise<{
  readonly fleet: gatewayFleets.GatewayFleet;
  readonly servers: readonly backendServers.BackendServer[];
  readonly statuses: readonly number[];
}> {
  const fleet = await testFleets.startReadyFleet(t);
  await testFleets.addReadyGateways(fleet, GATEWAYS_COUNT);
  const servers: backendServers.BackendServer[] = [];
  for (const id of ["b1", "b2"]) {
    const work = { slotsCount: SLOTS_COUNT, workMs: WORK_MS, downMs: DOWN_MS };
    const behaviour = brittleBehaviours.createBrittleBehaviour(work);
    const service = gatewayFleets.PLAIN_SERVICE;
    const server = await fleet.addServer(id, service, behaviour, SLOTS_COUNT);
    server.maxRejectionsPerSecond = MAX_REJECTIONS_PER_SECOND;
    servers.push(server);
  }
  await testFleets.waitUntilServersKnown(fleet, GATEWAYS_COUNT * servers.length);
  for (let index = 0; index < GATEWAYS_COUNT; index += 1)
    await testFleets.waitUntil(
      async () => (await fleet.call({ path: "/lookup/", id: "same" }, index)).status === 200,
    );
  const answers: Promise<number>[] = [];
  for (let round = 0; round < ROUNDS_COUNT; round += 1) {
    for (let index = 0; index < GATEWAYS_COUNT; index += 1) {
      // The same request again and again, as a popular lookup is.
      const answer = fleet.call({ path: "/lookup/", id: `same-${round}-${index}` }, index);
      answers.push(answer.then(({ status }) => status));
    }
    await new Promise((resolve) => setTimeout(resolve, ROUND_MS));
  }
  return { fleet, servers, statuses: await Promise.all(answers) };
}

tap.test("servers that end under rejections are not overloaded until they end", async (t) => {
  const { fleet, servers, statuses } = await overload(t);
  const fallsCount = servers.reduce((sum, server) => sum + server.overloadCrashesCount, 0);
  t.ok(fallsCount <= MAX_FALLS_COUNT, `${fallsCount} falls`);
  const servedCount = statuses.filter((status) => status === 200).length;
  t.ok(servedCount > statuses.length / 3, `${servedCount} of ${statuses.length} served`);
  const { SuspectBlamed } = diagnostics.LogEvent;
  t.notOk(
    fleet.log.lines.some(({ event }) => event === SuspectBlamed),
    "work is not blamed for falls under load",
  );
});

import tap, { type Test } from "tap";

import * as backendServers from "../../../standins/platform/backendServer/index.js";
import * as callerRequests from "../../../standins/platform/callerRequest/index.js";
import type * as gatewayFleets from "../../../standins/platform/gatewayFleet/index.js";
import * as crashingServers from "../_lib/crashingServers/index.js";
import * as testFleets from "../_lib/testFleet/index.js";

const GATEWAYS_COUNT = 3;
const SERVERS_COUNT = 4;

const SERVICES = ["old", "new"];
const CRASHING_PATH = "/status/bad";

/** Crashes after which the VMs have to have learned. */
const LEARNING_CRASHES_COUNT = 3;

/** Attempts at the request, one after the other, so that all VMs know of an end before the next one. */
const ATTEMPTS_COUNT = 30;
const PAUSE_MS = 150;

const CRASH_DELAY_MS = 40;
const ANSWER_DELAY_MS = 10;

/** Configures a route of which each service gets half, and starts servers that crash at some services. */
async function startFleet(
  t: Test,
  crashingServices: readonly string[],
): Promise<{
  readonly fleet: gatewayFleets.GatewayFleet;
  readonly crashesOf: (serviceName: string) => number;
}> {
  const fleet = await testFleets.startFleet(t);
  fleet.configure({
    routes: [
      {
        name: "status",
        host: callerRequests.HOST,
        path_prefix: "/status/",
        kind: "idempotent",
        traffic_split: SERVICES.map((service) => ({ service, weight: 50 })),
        timeout_ms: 5_000,
        target_latency_ms: 1_000,
        priority: 1,
        max_attempts: 1,
      },
    ],
    services: SERVICES.map((name) => ({ name, max_connections: 100 })),
  });
  await testFleets.addReadyGateways(fleet, GATEWAYS_COUNT);
  const servers = new Map<string, crashingServers.CrashingServers>();
  for (const serviceName of SERVICES) {
    const ofService = new crashingServers.CrashingServers(fleet, {
      serviceName,
      isCrashing: ({ target }) =>
        target === CRASHING_PATH && crashingServices.includes(serviceName),
      crash: backendServers.crashWithoutAnswer(CRASH_DELAY_MS),
      serve: backendServers.answerLater("found", ANSWER_DELAY_MS),
    });
    await ofService.start(SERVERS_COUNT);
    servers.set(serviceName, ofService);
  }
  await testFleets.waitUntilServersKnown(fleet, GATEWAYS_COUNT * SERVERS_COUNT * SERVICES.length);
  return { fleet, crashesOf: (serviceName) => servers.get(serviceName)?.crashes.length ?? 0 };
}

async function repeatRequest(fleet: gatewayFleets.GatewayFleet): Promise<readonly number[]> {
  const statuses: number[] = [];
  for (let index = 0; index < ATTEMPTS_COUNT; index += 1) {
    const call = { path: CRASHING_PATH, id: `bad-${index}` };
    statuses.push((await fleet.call(call, index % GATEWAYS_COUNT)).status);
    await new Promise((resolve) => setTimeout(resolve, PAUSE_MS));
  }
  return statuses;
}

// Each service of the route lost three servers before the request was kept from it.
tap.test("a request that crashes the servers of all services is known after three", async (t) => {
  const { fleet, crashesOf } = await startFleet(t, SERVICES);
  await repeatRequest(fleet);
  const counts = SERVICES.map(crashesOf);
  const totalCount = counts.reduce((sum, count) => sum + count, 0);
  // If all of them were of one service, the other may be tried once, as the request may be sound there.
  const allowedCount = LEARNING_CRASHES_COUNT + (counts.includes(LEARNING_CRASHES_COUNT) ? 1 : 0);
  t.ok(totalCount <= allowedCount, `${counts.join(" and ")} crashes, ${allowedCount} allowed`);
});

tap.test("a request that crashes the servers of one service is served by the other", async (t) => {
  const { fleet, crashesOf } = await startFleet(t, ["new"]);
  const statuses = await repeatRequest(fleet);
  t.equal(crashesOf("new"), LEARNING_CRASHES_COUNT);
  t.equal(crashesOf("old"), 0);
  const servedCount = statuses.filter((status) => status === 200).length;
  t.ok(servedCount >= ATTEMPTS_COUNT / 4, `${servedCount} of ${ATTEMPTS_COUNT} were served`);
});

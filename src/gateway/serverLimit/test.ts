import tap, { type Test } from "tap";

import * as backendServers from "../../../standins/platform/backendServer/index.js";
import * as gatewayFleets from "../../../standins/platform/gatewayFleet/index.js";
import * as testFleets from "../_lib/testFleet/index.js";

const { waitUntil } = testFleets;

const GATEWAYS_COUNT = 3;

/** Limit that a server in need names, in requests a second from all VMs. */
const RATE_PER_SECOND = 4;

/** Rounds of one call at each gateway, and the pause between two of them. */
const ROUNDS_COUNT = 100;
const ROUND_MS = 40;

/** Time from a server's first naming of a limit until it binds the VMs. */
const NOTICE_MS = 1_000;

/** Starts gateways that all serve lookups, with servers of the plain service. */
async function startFleet(
  t: Test,
  serverIds: readonly string[],
): Promise<{
  readonly fleet: gatewayFleets.GatewayFleet;
  readonly servers: readonly backendServers.BackendServer[];
}> {
  const fleet = await testFleets.startReadyFleet(t);
  const servers: backendServers.BackendServer[] = [];
  for (const id of serverIds) {
    const answer = backendServers.answerCompletely("found");
    servers.push(await fleet.addServer(id, gatewayFleets.PLAIN_SERVICE, answer));
  }
  for (let index = 1; index < GATEWAYS_COUNT; index += 1) await fleet.addGateway();
  for (let index = 0; index < GATEWAYS_COUNT; index += 1) {
    await waitUntil(() => fleet.isReady(index));
    await waitUntil(async () => (await fleet.call({ path: "/lookup/" }, index)).status === 200);
  }
  return { fleet, servers };
}

/** Makes rounds of lookups at all gateways; returns their statuses. */
async function makeLookups(
  fleet: gatewayFleets.GatewayFleet,
  roundsCount: number,
): Promise<readonly number[]> {
  const statuses: Promise<number>[] = [];
  for (let round = 0; round < roundsCount; round += 1) {
    for (let index = 0; index < GATEWAYS_COUNT; index += 1) {
      const id = `lookup-${round}-${index}`;
      statuses.push(fleet.call({ path: "/lookup/", id }, index).then(({ status }) => status));
    }
    await new Promise((resolve) => setTimeout(resolve, ROUND_MS));
  }
  return Promise.all(statuses);
}

tap.test("a server that names a limit gets no more than that from all VMs together", async (t) => {
  const { fleet, servers } = await startFleet(t, ["limited", "free"]);
  const [limited] = servers as [backendServers.BackendServer];
  limited.ratePerSecond = RATE_PER_SECOND;
  await makeLookups(fleet, NOTICE_MS / ROUND_MS);
  const countBefore = limited.calls.length;
  const startedAtMs = performance.now();
  const statuses = await makeLookups(fleet, ROUNDS_COUNT);
  const elapsedS = (performance.now() - startedAtMs) / 1_000;
  const receivedCount = limited.calls.length - countBefore;
  const allowedCount = 1.5 * RATE_PER_SECOND * elapsedS + 5;
  t.ok(receivedCount <= allowedCount, `${receivedCount} calls, allowed ${allowedCount.toFixed(1)}`);
  t.ok(receivedCount > 0, "the server still gets what it takes");
  t.ok(
    statuses.every((status) => status === 200),
    "the other server takes the rest",
  );
});

tap.test("a server that ends its limit gets its full share again", async (t) => {
  const { fleet, servers } = await startFleet(t, ["limited", "free"]);
  const [limited] = servers as [backendServers.BackendServer];
  limited.ratePerSecond = RATE_PER_SECOND;
  await makeLookups(fleet, NOTICE_MS / ROUND_MS);
  limited.ratePerSecond = null;
  await makeLookups(fleet, (3 * NOTICE_MS) / ROUND_MS);
  const countBefore = limited.calls.length;
  await makeLookups(fleet, ROUNDS_COUNT / 2);
  const receivedCount = limited.calls.length - countBefore;
  t.ok(receivedCount > ROUNDS_COUNT / 4, `${receivedCount} of ${(ROUNDS_COUNT / 2) * 3} calls`);
});

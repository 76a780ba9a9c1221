import tap from "tap";

import * as backendServers from "../../../standins/platform/backendServer/index.js";
import * as gatewayFleets from "../../../standins/platform/gatewayFleet/index.js";
import * as names from "../../../platform/names/index.js";
import * as diagnostics from "../../diagnostics/index.js";
import * as testFleets from "../_lib/testFleet/index.js";

const GATEWAYS_COUNT = 12;

/** Requests a second that a cold server tolerates, and what it may get in any second. */
const RATE_PER_SECOND = 10;
const ALLOWED_COUNT = 1.5 * RATE_PER_SECOND + 5;

const COLD_MS = 4_000;

/** Time within which servers that are back get work again. */
const RETURN_MS = 3_000;

/** Share of requests that have to be served. */
const SERVED_RATIO = 0.97;

/** Time after which all gateways know each other. */
const SETTLED_MS = 6_000;

/** Time between two rounds of one request at each gateway: 80 requests a second. */
const ROUND_MS = 150;

/** Streams of which 36 run at a time: three quarters of what two engines take. */
const SCRIPT = { eventsCount: 3, gapMs: 150 };

function pause(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}

function maxPerSecond(arrivedAtMs: readonly number[]): number {
  const counts = arrivedAtMs.map(
    (atMs) => arrivedAtMs.filter((other) => other > atMs - 1_000 && other <= atMs).length,
  );
  return Math.max(0, ...counts);
}

/** Makes rounds of drafts at all gateways; returns their statuses. */
async function makeDrafts(
  fleet: gatewayFleets.GatewayFleet,
  name: string,
  durationMs: number,
): Promise<readonly number[]> {
  const statuses: Promise<number>[] = [];
  for (let round = 0; round < durationMs / ROUND_MS; round += 1) {
    for (let index = 0; index < GATEWAYS_COUNT; index += 1) {
      const id = `${name}-${round}-${index}`;
      const options = { ...testFleets.DRAFT_REQUEST, path: "/draft/", id };
      statuses.push(fleet.call(options, index).then(({ status }) => status));
    }
    await pause(ROUND_MS);
  }
  return Promise.all(statuses);
}

tap.test("two of four engines that come back cold get what they bear, and work soon", async (t) => {
  const { ENGINE_SERVICE } = gatewayFleets;
  const fleet = await testFleets.startReadyFleet(t);
  fleet.configure({
    services: [
      { name: gatewayFleets.PLAIN_SERVICE, max_connections: 100 },
      {
        name: ENGINE_SERVICE,
        max_connections: 1_000,
        cold_start_s: COLD_MS / 1_000,
        cold_per_s: RATE_PER_SECOND,
        engine: { slots: 24, kv_capacity_tokens: 34_000, stride: 4 },
      },
    ],
  });
  const arrivedAtMs = new Map<string, number[]>();
  const behave: backendServers.Behaviour = (call, response, server) => {
    arrivedAtMs.get(server.id)?.push(performance.now());
    return backendServers.stream(SCRIPT)(call, response, server);
  };
  const servers = [];
  for (const id of ["e1", "e2", "e3", "e4"]) {
    arrivedAtMs.set(id, []);
    servers.push(await fleet.addServer(id, ENGINE_SERVICE, behave));
  }
  await testFleets.addReadyGateways(fleet, GATEWAYS_COUNT);
  await pause(SETTLED_MS);
  const returning = servers.slice(0, 2);
  for (const { id } of returning) fleet.store.put(names.TOPIC_NAMES.servers, id, null);
  await pause(RETURN_MS);

  const before = makeDrafts(fleet, "before", 1_000);
  await pause(1_000);
  const returnedAtMs = performance.now();
  for (const { id, port } of returning) {
    const fields = { cold_remaining_ms: COLD_MS, born: 2_000 };
    fleet.registerAddress(id, ENGINE_SERVICE, port, fields);
  }
  const statuses = [...(await makeDrafts(fleet, "cold", COLD_MS)), ...(await before)];
  for (const { id } of returning) {
    const coldAtMs = (arrivedAtMs.get(id) ?? []).filter((atMs) => atMs < returnedAtMs + COLD_MS);
    const most = maxPerSecond(coldAtMs);
    t.ok(most <= ALLOWED_COUNT, `${id} got ${most} in a second, allowed ${ALLOWED_COUNT}`);
    const hasWork = coldAtMs.some(
      (atMs) => atMs >= returnedAtMs && atMs < returnedAtMs + RETURN_MS,
    );
    t.ok(hasWork, `${id} got work within ${RETURN_MS} ms`);
  }
  const servedRatio = statuses.filter((status) => status === 200).length / statuses.length;
  t.ok(servedRatio >= SERVED_RATIO, `${servedRatio.toFixed(3)} served`);
  const { ColdServersChanged } = diagnostics.LogEvent;
  const lines = fleet.log.lines.filter(({ event }) => event === ColdServersChanged);
  t.ok(lines.some(({ fields }) => fields.coldCount === 2));
});

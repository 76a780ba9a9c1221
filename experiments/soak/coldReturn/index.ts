import * as gatewayFleets from "../../../standins/platform/gatewayFleet/index.js";
import * as names from "../../../platform/names/index.js";
import type * as soakFleets from "../soakFleet/index.js";

const { ENGINE_SERVICE } = gatewayFleets;

/** Requests a second that a cold engine bears, and how long it is cold. */
const COLD_RATE_PER_SECOND = 4;
const COLD_MS = 2_500;

/** What the configuration states of cold engines. */
export const ENGINE_SERVICE_FIELDS = {
  cold_start_s: COLD_MS / 1_000,
  cold_per_s: COLD_RATE_PER_SECOND,
} as const;

/** Fleets whose engines are down or cold. */
const returningFleets = new WeakSet<soakFleets.SoakFleet>();

/**
 * Lets all engines but one stop and come back together, cold; resolves when they are warm, and at once
 * while this is under way already.
 */
export async function returnEnginesCold(
  fleet: soakFleets.SoakFleet,
  downMs: number,
): Promise<void> {
  if (returningFleets.has(fleet)) return;
  returningFleets.add(fleet);
  await returnTogether(fleet, downMs);
  returningFleets.delete(fleet);
}

async function returnTogether(
  { checker, platform, servers, services }: soakFleets.SoakFleet,
  downMs: number,
): Promise<void> {
  const engines = servers.filter(({ id }) => services.get(id) === ENGINE_SERVICE);
  // While a server is down it has no port.
  const returning = engines
    .slice(1)
    .map((server) => ({ server, id: server.id, port: server.port }));
  for (const { id } of returning) platform.store.put(names.TOPIC_NAMES.servers, id, null);
  await Promise.all(returning.map(({ server }) => server.crashAndRestart(downMs)));
  const born = Date.now();
  const register = (coldMs: number): void => {
    // Servers that another fault has replaced in the meantime are not registered again.
    for (const { id, port } of returning.filter(({ server }) => servers.includes(server)))
      platform.registerAddress(id, ENGINE_SERVICE, port, { cold_remaining_ms: coldMs, born });
  };
  for (const { id } of returning) checker.recordCold(id, COLD_RATE_PER_SECOND, COLD_MS);
  register(COLD_MS);
  await new Promise((resolve) => setTimeout(resolve, COLD_MS));
  register(0);
}

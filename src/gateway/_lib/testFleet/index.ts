import type { Test } from "tap";

import type * as backendServers from "../../../../standins/platform/backendServer/index.js";
import * as gatewayFleets from "../../../../standins/platform/gatewayFleet/index.js";
import * as diagnostics from "../../../diagnostics/index.js";

const CHECK_INTERVAL_MS = 20;
const MAX_CHECKS_COUNT = 1_000;

/** Method, body and headers of a caller's request to the draft route, which is a generation. */
export const DRAFT_REQUEST = {
  method: "POST",
  body: "prompt",
  headers: { "X-Token-Count": "300,2000", "X-Length-Hint": "1000", "X-Model": "m" },
} as const;

/** Starts a fleet with a store and no gateways. */
export async function startFleet(t: Test): Promise<gatewayFleets.GatewayFleet> {
  const fleet = new gatewayFleets.GatewayFleet();
  t.teardown(() => fleet[Symbol.asyncDispose]());
  await fleet.start();
  return fleet;
}

/** Starts a fleet with a configured store and one gateway, and waits until it is ready. */
export async function startReadyFleet(t: Test): Promise<gatewayFleets.GatewayFleet> {
  const fleet = await startFleet(t);
  fleet.configure();
  await fleet.addGateway();
  await waitUntil(() => fleet.isReady());
  return fleet;
}

/** Adds gateways until there are as many as given, and waits until all are ready. */
export async function addReadyGateways(
  fleet: gatewayFleets.GatewayFleet,
  gatewaysCount: number,
): Promise<void> {
  while (fleet.gateways.length < gatewaysCount) await fleet.addGateway();
  for (let index = 0; index < gatewaysCount; index += 1)
    await waitUntil(() => fleet.isReady(index));
}

/** Polls until a condition is met; the bound on checks only ends a test that would hang. */
export async function waitUntil(isConditionMet: () => boolean | Promise<boolean>): Promise<void> {
  for (let checksCount = 0; checksCount < MAX_CHECKS_COUNT; checksCount += 1) {
    if (await isConditionMet()) return;
    await new Promise((resolve) => setTimeout(resolve, CHECK_INTERVAL_MS));
  }
  throw new Error(
    `condition not met in ${MAX_CHECKS_COUNT} checks at intervals of ${CHECK_INTERVAL_MS} ms: ${isConditionMet.toString()}`,
  );
}

/** Waits until the fleet has logged at least `serversCount` server entries. */
export async function waitUntilServersKnown(
  fleet: gatewayFleets.GatewayFleet,
  serversCount: number,
): Promise<void> {
  const { ServerKnown } = diagnostics.LogEvent;
  await waitUntil(() => {
    return fleet.log.lines.filter(({ event }) => event === ServerKnown).length >= serversCount;
  });
}

/** Sends a request to the draft route. */
export function requestDraft(
  fleet: gatewayFleets.GatewayFleet,
  id: string,
): Promise<gatewayFleets.CallerAnswer> {
  return fleet.call({ ...DRAFT_REQUEST, path: "/draft/", id });
}

/** Sends a request to the lookup route, and returns whether its status is 200. */
export async function isLookupServed(fleet: gatewayFleets.GatewayFleet): Promise<boolean> {
  return (await fleet.call({ path: "/lookup/", id: "probe" })).status === 200;
}

/** Sends a request to the draft route, and returns whether its status is 200. */
export async function isDraftServed(fleet: gatewayFleets.GatewayFleet): Promise<boolean> {
  return (await requestDraft(fleet, "probe")).status === 200;
}

/** Sends a request to the draft route, and returns whether the server has received any call. */
export async function requestDraftAndCheckCalled(
  fleet: gatewayFleets.GatewayFleet,
  server: backendServers.BackendServer,
): Promise<boolean> {
  await requestDraft(fleet, "probe");
  return server.calls.length > 0;
}

/** Returns the ids of the events in a stream. */
export function parseEventIds(body: string): readonly number[] {
  return [...body.matchAll(/^id: (\d+)$/gm)].map((match) => Number(match[1]));
}

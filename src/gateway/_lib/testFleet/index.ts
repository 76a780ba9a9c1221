import type { Test } from "tap";

import type * as backendServers from "../../../../standins/platform/backendServer/index.js";
import * as gatewayFleets from "../../../../standins/platform/gatewayFleet/index.js";
import * as diagnostics from "../../../diagnostics/index.js";

const PAUSE_MS = 20;
const MAX_TRIES = 1_000;

/** A caller's request for a draft. */
export const DRAFT = {
  method: "POST",
  body: "prompt",
  headers: { "X-Token-Count": "300,2000", "X-Length-Hint": "1000", "X-Model": "m" },
} as const;

/** Starts a store without gateways. */
export async function startFleet(t: Test): Promise<gatewayFleets.GatewayFleet> {
  const fleet = new gatewayFleets.GatewayFleet();
  t.teardown(() => fleet[Symbol.asyncDispose]());
  await fleet.start();
  return fleet;
}

/** Starts a store with a configuration, and a gateway that is ready. */
export async function startReady(t: Test): Promise<gatewayFleets.GatewayFleet> {
  const fleet = await startFleet(t);
  fleet.configure();
  await fleet.addGateway();
  await until(() => fleet.isReady());
  return fleet;
}

/** Waits for a state that comes by itself; the bound only ends a test that would hang. */
export async function until(isReached: () => boolean | Promise<boolean>): Promise<void> {
  for (let tries = 0; tries < MAX_TRIES; tries += 1) {
    if (await isReached()) return;
    await new Promise((resolve) => setTimeout(resolve, PAUSE_MS));
  }
  throw new Error("the state was not reached");
}

/** Waits until a gateway knows so many backend servers. */
export async function untilKnown(
  fleet: gatewayFleets.GatewayFleet,
  serversCount: number,
): Promise<void> {
  const { ServerKnown } = diagnostics.LogEvent;
  await until(() => {
    return fleet.log.lines.filter(({ event }) => event === ServerKnown).length >= serversCount;
  });
}

/** Asks for a draft. */
export function draft(
  fleet: gatewayFleets.GatewayFleet,
  id: string,
): Promise<gatewayFleets.CallerAnswer> {
  return fleet.call({ ...DRAFT, path: "/draft/", id });
}

/** Whether lookups are served. */
export async function isServed(fleet: gatewayFleets.GatewayFleet): Promise<boolean> {
  return (await fleet.call({ path: "/lookup/", id: "probe" })).status === 200;
}

/** Whether drafts are served. */
export async function isStreamed(fleet: gatewayFleets.GatewayFleet): Promise<boolean> {
  return (await draft(fleet, "probe")).status === 200;
}

/** Whether an engine was asked, after one more try. */
export async function isTried(
  fleet: gatewayFleets.GatewayFleet,
  server: backendServers.BackendServer,
): Promise<boolean> {
  await draft(fleet, "probe");
  return server.calls.length > 0;
}

/** Numbers of the events in a stream. */
export function eventIds(body: string): readonly number[] {
  return [...body.matchAll(/^id: (\d+)$/gm)].map((match) => Number(match[1]));
}

import * as http from "node:http";
import * as timers from "node:timers/promises";

import * as callers from "../callers/index.js";
import type * as processes from "../processes/index.js";
import type * as soakFleets from "../soakFleet/index.js";

/** Connections that are kept open to each VM. */
const CONNECTIONS_COUNT = 3;

/** Pause between two calls on a connection. */
const CALL_INTERVAL_MS = 40;

/**
 * Calls each VM on connections that are kept open until its process is gone, also while it stops in order, and
 * checks that each call that was passed on to a server gets an answer.
 */
export async function callOnKeptConnections(
  fleet: soakFleets.SoakFleet,
  seed: number,
  endsAtMs: number,
): Promise<void> {
  const loops = fleet.vms.flatMap((vm) =>
    Array.from({ length: CONNECTIONS_COUNT }, (_, connection) =>
      keepCalling(fleet, vm, `s${seed}-kept-${vm.index}-${connection}`, endsAtMs),
    ),
  );
  await Promise.all(loops);
}

async function keepCalling(
  fleet: soakFleets.SoakFleet,
  vm: processes.GatewayProcess,
  name: string,
  endsAtMs: number,
): Promise<void> {
  const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  for (let index = 0; Date.now() < endsAtMs; index += 1) {
    const id = `${name}-${index}`;
    const { killsCount } = vm;
    const startedAtMs = Date.now();
    const status = await callers.makeKeptCall(id, fleet, vm, agent, index % 2 === 0);
    const isGivenUp = Date.now() - startedAtMs >= callers.CALL_TIMEOUT_MS;
    if (status === null && !isGivenUp && vm.killsCount === killsCount)
      fleet.checker.checkUnanswered(id);
    await timers.setTimeout(CALL_INTERVAL_MS);
  }
  agent.destroy();
}

import type * as randoms from "../../../src/_lib/random/index.js";
import * as brittleBehaviours from "../../../standins/platform/brittleBehaviour/index.js";
import * as gatewayFleets from "../../../standins/platform/gatewayFleet/index.js";
import * as callers from "../callers/index.js";
import type * as soakFleets from "../soakFleet/index.js";

const FLOOD_KEY = "flood";
const SMALL_KEY = "small";

/** API keys, and names, of the accounts that take part in floods. */
export const ACCOUNT_KEYS: readonly string[] = [FLOOD_KEY, SMALL_KEY];

/** Three servers serve 60 calls a second of this work, of which the soak test's own calls are some 40. */
const WORK: brittleBehaviours.BrittleOptions = { slotsCount: 3, workMs: 150, downMs: 0 };

const FLOOD_INTERVAL_MS = 12;
const SMALL_INTERVAL_MS = 120;

/** Time until shares are in force, and for which they are checked after that. */
const NOTICE_MS = 2_000;
const CHECKED_MS = 6_000;

let isFlooded = false;

/**
 * Lets one account send more calls than the plain servers serve, and checks that an account within its share
 * is served meanwhile, unless another fault has disturbed the servers or VMs.
 */
export async function floodAccount(
  fleet: soakFleets.SoakFleet,
  random: randoms.RandomSource,
): Promise<void> {
  if (isFlooded) {
    await pause(NOTICE_MS);
    return;
  }
  isFlooded = true;
  const servers = fleet.servers.filter(({ id }) => id.startsWith(gatewayFleets.PLAIN_SERVICE));
  const disturbancesBefore = fleet.disturbancesCount;
  for (const server of servers) {
    const answerTo = ({ id }: { readonly id: string }): string => `answer to ${id}`;
    fleet.setFaultyBehaviour(server, brittleBehaviours.createBrittleBehaviour(WORK, answerTo));
  }
  const startedAtMs = Date.now();
  const endsAtMs = startedAtMs + NOTICE_MS + CHECKED_MS;
  const flooding = sendCalls(fleet, random, FLOOD_KEY, FLOOD_INTERVAL_MS, endsAtMs);
  await sendCalls(fleet, random, SMALL_KEY, SMALL_INTERVAL_MS, startedAtMs + NOTICE_MS);
  const statuses = await sendCalls(fleet, random, SMALL_KEY, SMALL_INTERVAL_MS, endsAtMs);
  await flooding;
  for (const server of servers) fleet.restoreBehaviour(server);
  isFlooded = false;
  if (fleet.disturbancesCount !== disturbancesBefore) return;
  const servedCount = statuses.filter((status) => status === 200).length;
  fleet.checker.checkShare(servedCount, statuses.length);
}

/** Sends lookups of an account at an even rate, and returns their statuses. */
async function sendCalls(
  { vms, checker }: soakFleets.SoakFleet,
  random: randoms.RandomSource,
  apiKey: string,
  intervalMs: number,
  endsAtMs: number,
): Promise<readonly (number | null)[]> {
  const calls: Promise<number | null>[] = [];
  while (Date.now() < endsAtMs) {
    const vm = vms[Math.floor(random.next() * vms.length)];
    const id = `${apiKey}-${Date.now()}-${calls.length}`;
    if (vm !== undefined) calls.push(callers.makeLookup(id, apiKey, vm, checker));
    await pause(intervalMs);
  }
  return Promise.all(calls);
}

function pause(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}

import type * as randoms from "../../_lib/random/index.js";
import * as constants from "../constants.js";
import type * as types from "../types.js";

/**
 * Upper bound of the random cost added to each server without contention, so that VMs do not all select the
 * same one.
 */
const RANDOM_COST_MS = 8;

/** What one selection takes into account besides the servers. */
export interface PlainSelection {
  readonly dataCentre: string;
  /** Servers that have received this call already, used only where no other is left. */
  readonly avoidedIds: ReadonlySet<string>;
  /** Cost of a server whose answers all fail, in call times. */
  readonly failureWeight: number;
  /** Where the call falls among the servers, from 0 to 1; see `SpreadSequence`. */
  readonly position: number;
  /** Answer time up to which servers count as equally good, as callers do not notice it. */
  readonly tolerableMs: number;
  /** Whether a server of the service has rejected a call lately for lack of room. */
  readonly isContended: boolean;
  readonly random: randoms.RandomSource;
}

interface RatedServer {
  readonly server: types.PlainCandidate;
  readonly callMs: number;
  readonly costMs: number;
}

/**
 * Selects a plain server for a call. While none has rejected a call lately, it is the one with the lowest
 * expected time until this VM's calls in progress and this one are answered, plus the costs below. The load that it answers: what a VM knows of the servers is always a
 * little old, and many VMs choose at the same moment, so that the server that looks best would get all calls.
 *
 * Servers are left out that cost at least one call time more than the best one: by the expected time beyond
 * the tolerable one, failures, a suspected partition, or a delay that they ask for. The others share the
 * calls by their capacity, less where this VM has calls in progress or calls were rejected lately; the position says whose share it falls into.
 *
 * @returns undefined if no server takes a request of this VM
 */
export function selectPlainServer(
  servers: readonly types.PlainCandidate[],
  selection: PlainSelection,
): types.PlainCandidate | undefined {
  const open = servers.filter(({ admissionDelayMs }) => Number.isFinite(admissionDelayMs));
  const untried = open.filter(({ serverId }) => !selection.avoidedIds.has(serverId));
  const candidates = untried.length > 0 ? untried : open;
  if (!selection.isContended) return selectLeastCost(candidates, selection);
  return drawByCapacity(listComparable(candidates, selection), selection);
}

function selectLeastCost(
  servers: readonly types.PlainCandidate[],
  { dataCentre, failureWeight, random }: PlainSelection,
): types.PlainCandidate | undefined {
  const usualMs = meanOf(servers.map(({ typicalMs }) => typicalMs));
  let best: types.PlainCandidate | undefined;
  let lowestCostMs = Infinity;
  for (const server of servers) {
    // A server that has not answered yet counts as the mean of the others, or all VMs would turn to it.
    const callMs = server.typicalMs ?? usualMs ?? constants.DEFAULT_CALL_TIME_MS;
    const costMs =
      server.admissionDelayMs +
      callMs * (1 + server.pendingCount) +
      failureWeight * server.failureRatio * callMs +
      (server.isPartitioned ? constants.PARTITION_COST_MS : 0) +
      (server.dataCentre === dataCentre ? 0 : constants.OTHER_DATA_CENTRE_CALL_COST_MS) +
      random.next() * RANDOM_COST_MS;
    if (costMs >= lowestCostMs) continue;
    best = server;
    lowestCostMs = costMs;
  }
  return best;
}

function listComparable(
  servers: readonly types.PlainCandidate[],
  { failureWeight, tolerableMs }: PlainSelection,
): readonly types.PlainCandidate[] {
  const usualMs = meanOf(servers.map(({ recentMs }) => recentMs));
  const rated = servers.map((server): RatedServer => {
    const callMs = server.recentMs ?? usualMs ?? constants.DEFAULT_CALL_TIME_MS;
    const timeMs = callMs * (1 + server.pendingCount / server.slotsCount);
    const costMs =
      server.admissionDelayMs +
      Math.max(0, timeMs - tolerableMs) +
      failureWeight * server.failureRatio * callMs +
      (server.isPartitioned ? constants.PARTITION_COST_MS : 0);
    return { server, callMs, costMs };
  });
  const [first] = rated;
  if (first === undefined) return [];
  const best = rated.reduce((left, right) => (right.costMs < left.costMs ? right : left), first);
  return rated
    .filter(
      ({ server, costMs }) =>
        server === best.server ||
        (costMs < best.costMs + best.callMs &&
          server.admissionDelayMs <= best.server.admissionDelayMs),
    )
    .map(({ server }) => server);
}

function drawByCapacity(
  servers: readonly types.PlainCandidate[],
  { dataCentre, position }: PlainSelection,
): types.PlainCandidate | undefined {
  // All VMs have to use the same order, so that their positions fall into the same shares.
  const ordered = [...servers].sort((left, right) => (left.serverId < right.serverId ? -1 : 1));
  const usualMs = meanOf(ordered.map(({ fastMs }) => fastMs)) ?? constants.DEFAULT_CALL_TIME_MS;
  const capacities = ordered.map((server) => {
    const distanceMs =
      server.dataCentre === dataCentre ? 0 : constants.OTHER_DATA_CENTRE_CALL_COST_MS;
    const callMs = Math.max(constants.MIN_CALL_TIME_MS, server.fastMs ?? usualMs) + distanceMs;
    const capacity = server.slotsCount / callMs ** constants.CALL_TIME_EXPONENT;
    return capacity / (1 + server.pendingCount);
  });
  const reduced = capacities.map(
    (capacity, index) => capacity * (ordered[index]?.shareAfterRejections ?? 1),
  );
  const shares = reduced.some((share) => share > 0) ? reduced : capacities;
  let rest = position * shares.reduce((sum, share) => sum + share, 0);
  for (const [index, share] of shares.entries()) {
    rest -= share;
    if (rest < 0) return ordered[index];
  }
  return ordered.at(-1);
}

function meanOf(values: readonly (number | null)[]): number | null {
  const known = values.filter((value) => value !== null);
  return known.length === 0 ? null : known.reduce((sum, value) => sum + value, 0) / known.length;
}

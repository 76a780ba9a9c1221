import type * as randoms from "../../_lib/random/index.js";
import * as constants from "../constants.js";
import type * as types from "../types.js";

/**
 * Upper bound of the random cost added to each server, so that VMs do not all select the same one.
 */
const RANDOM_COST_MS = 8;

/**
 * Selects a plain server for a call: the one with the lowest expected time until its calls in
 * progress and this one are answered, plus costs for failures, suspected partitions and other data
 * centres. A server that takes no request of this VM is not selected. Once-only calls use a higher failure weight, since they cannot be retried.
 *
 * @param options - `avoidedIds` are servers that have received this call already, used only where
 * no other is left; `failureWeight` is the cost of a server whose answers all fail, in call times
 * @returns undefined where there are no servers
 */
export function selectPlainServer(
  servers: readonly types.PlainCandidate[],
  options: {
    readonly dataCentre: string;
    readonly avoidedIds: ReadonlySet<string>;
    readonly failureWeight: number;
    readonly random: randoms.RandomSource;
  },
): types.PlainCandidate | undefined {
  const untried = servers.filter(({ serverId }) => !options.avoidedIds.has(serverId));
  const candidates = untried.length > 0 ? untried : servers;
  let best: types.PlainCandidate | undefined;
  let lowestCostMs = Infinity;
  for (const server of candidates) {
    const callMs = server.typicalMs ?? constants.DEFAULT_CALL_TIME_MS;
    const costMs =
      server.admissionDelayMs +
      callMs * (1 + server.pendingCount) +
      options.failureWeight * server.failureRatio * callMs +
      (server.isPartitioned ? constants.PARTITION_COST_MS : 0) +
      (server.dataCentre === options.dataCentre ? 0 : constants.OTHER_DATA_CENTRE_CALL_COST_MS) +
      options.random.next() * RANDOM_COST_MS;
    if (costMs >= lowestCostMs) continue;
    best = server;
    lowestCostMs = costMs;
  }
  return best;
}

import type * as randoms from "../../_lib/random/index.js";
import * as constants from "../constants.js";
import type * as types from "../types.js";

/** Weight of an even draw among equals, in milliseconds; keeps VMs from choosing alike. */
const DRAW_MS = 8;

/**
 * Chooses a plain server for a call: the least work in progress, by typical time, with a cost for
 * failures; once-only calls weigh failures more, since they cannot be tried again.
 *
 * @param avoidedIds - servers that this call was sent to already; used only where no other is left
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
  const fresh = servers.filter(({ serverId }) => !options.avoidedIds.has(serverId));
  const choices = fresh.length > 0 ? fresh : servers;
  let best: types.PlainCandidate | undefined;
  let lowestCostMs = Infinity;
  for (const server of choices) {
    const callMs = server.typicalMs ?? constants.UNKNOWN_CALL_MS;
    const costMs =
      callMs * (1 + server.pendingCount) +
      options.failureWeight * server.failureRatio * callMs +
      (server.isCutOff ? constants.CUT_OFF_COST_MS : 0) +
      (server.dataCentre === options.dataCentre ? 0 : 2) +
      options.random.next() * DRAW_MS;
    if (costMs >= lowestCostMs) continue;
    best = server;
    lowestCostMs = costMs;
  }
  return best;
}

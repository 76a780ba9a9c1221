import * as constants from "../../constants.js";
import type * as relayContext from "../../relayContext.js";
import type * as types from "../../types.js";

/**
 * Time from the arrival of a call to its second attempt. It is longer while calls at its server take that long
 * at present: then it is in a queue, and a second one would only lengthen another.
 *
 * @param triedIds - servers that have received the call, the latest last
 */
export function computeHedgeDelayMs(
  { trust }: Pick<relayContext.RelayContext, "trust">,
  { route }: Pick<types.Call, "route">,
  triedIds: ReadonlySet<string>,
): number {
  const serverId = [...triedIds].at(-1) ?? "";
  const objectiveDelayMs = constants.HEDGE_OBJECTIVE_RATIO * route.objectiveMs;
  return Math.max(objectiveDelayMs, constants.HEDGE_TIME_RATIO * (trust.typicalMs(serverId) ?? 0));
}

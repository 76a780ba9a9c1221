import * as constants from "../../constants.js";
import type * as relayContext from "../../relayContext.js";
import type * as types from "../../types.js";

/** Whether a call that waits for a place at a brittle server can still be answered within its objective. */
export function canAwaitPlace(
  { clock, directory, trust }: relayContext.RelayContext,
  { serviceName, arrivedAtMs, route }: types.Call,
): boolean {
  const available = directory.listAvailable(serviceName);
  const typicalMs = Math.min(...available.map(({ entry }) => trust.typicalMs(entry.id) ?? 0));
  const objectiveLeftMs = arrivedAtMs + route.objectiveMs - clock.nowMs();
  return objectiveLeftMs > typicalMs + constants.PLACE_CHECK_INTERVAL_MS;
}

import * as constants from "../../constants.js";
import type * as relayContext from "../../relayContext.js";
import type * as types from "../../types.js";

/**
 * Whether a call may wait for a place at a brittle server: this VM has places there, and the call can still
 * be answered within its objective.
 */
export function canAwaitPlace(
  { clock, directory, overloadGuard, trust }: relayContext.RelayContext,
  { serviceName, arrivedAtMs, route }: types.Call,
): boolean {
  const withPlaces = directory
    .listAvailable(serviceName)
    .filter(({ entry }) => overloadGuard.placesAt(entry) > 0);
  const typicalMs = Math.min(...withPlaces.map(({ entry }) => trust.typicalMs(entry.id) ?? 0));
  const objectiveLeftMs = arrivedAtMs + route.objectiveMs - clock.nowMs();
  return objectiveLeftMs > typicalMs + constants.PLACE_CHECK_INTERVAL_MS;
}

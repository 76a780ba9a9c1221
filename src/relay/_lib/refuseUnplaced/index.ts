import * as dispatch from "../../../dispatch/index.js";
import * as constants from "../../constants.js";
import type * as relayContext from "../../relayContext.js";
import * as types from "../../types.js";
import * as canAwaitPlace from "../canAwaitPlace/index.js";

/** Why a plain call that no server takes now is refused, and when its caller may return. */
export interface UnplacedRefusal {
  readonly reason: types.RefusalReason;
  readonly retryAfterMs: number;
}

/**
 * Decides whether a plain call that no server takes now is refused at once: servers are missing or in
 * evacuated data centres, or their places are not free in time. Null if it waits for a place.
 */
export function refuseUnplaced(
  context: relayContext.RelayContext,
  call: types.Call,
): UnplacedRefusal | null {
  const { directory, overloadGuard, random } = context;
  const { serviceName, route } = call;
  if (directory.isServiceEvacuated(serviceName)) {
    const retryAfterMs = dispatch.computeRetryAfterMs(constants.EVACUATED_RETRY_AFTER_MS, random);
    return { reason: types.RefusalReason.Evacuated, retryAfterMs };
  }
  if (!overloadGuard.isBrittle(serviceName)) {
    const retryAfterMs = constants.DEFAULT_RETRY_AFTER_MS;
    return { reason: types.RefusalReason.NoServer, retryAfterMs };
  }
  if (canAwaitPlace.canAwaitPlace(context, call)) return null;
  const retryAfterMs = dispatch.computeRetryAfterMs(route.objectiveMs, random);
  return { reason: types.RefusalReason.NoCapacity, retryAfterMs };
}

import type * as servers from "../../../servers/index.js";
import type * as relayContext from "../../relayContext.js";
import type * as types from "../../types.js";

/**
 * Finds the server at which an unanswered call may be repeated through a peer: one that has received it
 * already, so that the number of its servers stays, and that takes a request now.
 */
export function findPeerTarget(
  {
    backpressure,
    directory,
    places,
  }: Pick<relayContext.RelayContext, "backpressure" | "directory" | "places">,
  { serviceName }: Pick<types.Call, "serviceName">,
  receivedIds: ReadonlySet<string>,
): servers.KnownServer | undefined {
  return directory
    .listAvailable(serviceName)
    .find(
      ({ entry }) =>
        receivedIds.has(entry.id) && backpressure.delayMs(entry) === 0 && places.isFree(entry),
    );
}

import type * as types from "../types.js";

/**
 * Finds the route with the longest prefix among those of a host.
 *
 * @param host - as the caller sent it; case and a port do not matter
 * @param target - path with its query, as the caller sent it
 */
export function matchRoute(
  table: types.RoutingTable,
  host: string,
  target: string,
): types.Route | undefined {
  const path = target.split("?", 1)[0] ?? target;
  const hostName = host.toLowerCase().replace(/:\d+$/, "");
  return table.routesByHost.get(hostName)?.find((route) => path.startsWith(route.pathPrefix));
}

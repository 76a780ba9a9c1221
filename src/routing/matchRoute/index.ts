import type * as types from "../types.js";

/**
 * Finds the route of a host with the longest matching path prefix.
 *
 * @param host - as the caller sent it; case and port are ignored
 * @param target - path with query, as the caller sent it; the query is ignored
 * @returns undefined if no route matches
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

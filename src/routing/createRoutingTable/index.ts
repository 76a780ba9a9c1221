import type * as types from "../types.js";

/**
 * Indexes the routes of a configuration by host, its services by name and its accounts by API key.
 */
export function createRoutingTable(configuration: types.Configuration): types.RoutingTable {
  return {
    configuration,
    routesByHost: groupByHost(configuration.routes),
    servicesByName: new Map(configuration.services.map((service) => [service.name, service])),
    targetGapMsByService: findTargetGaps(configuration.routes),
    accountsByKey: indexKeys(configuration.accounts ?? []),
  };
}

function groupByHost(routes: readonly types.Route[]): Map<string, types.Route[]> {
  const routesByHost = new Map<string, types.Route[]>();
  for (const route of routes) {
    const hostRoutes = routesByHost.get(route.host);
    if (hostRoutes === undefined) routesByHost.set(route.host, [route]);
    else hostRoutes.push(route);
  }
  for (const hostRoutes of routesByHost.values()) {
    hostRoutes.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length);
  }
  return routesByHost;
}

function findTargetGaps(routes: readonly types.Route[]): Map<string, number> {
  const targetGapMsByService = new Map<string, number>();
  for (const { shares, targetGapMs } of routes) {
    if (targetGapMs === null || targetGapMs === 0) continue;
    for (const { serviceName } of shares) {
      const knownMs = targetGapMsByService.get(serviceName) ?? Infinity;
      targetGapMsByService.set(serviceName, Math.min(knownMs, targetGapMs));
    }
  }
  return targetGapMsByService;
}

function indexKeys(accounts: readonly types.Account[]): Map<string, types.Account> {
  const accountsByKey = new Map<string, types.Account>();
  for (const account of accounts) {
    for (const key of account.apiKeys) accountsByKey.set(key, account);
  }
  return accountsByKey;
}

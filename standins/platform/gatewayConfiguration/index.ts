import * as callerRequests from "../callerRequest/index.js";

/** Name of the plain service. */
export const PLAIN_SERVICE = "plain";

/** Name of the service with model engines. */
export const ENGINE_SERVICE = "engines";

const ROUTE_DEFAULTS = {
  timeout_ms: 20_000,
  target_latency_ms: 1_000,
  priority: 1,
  max_attempts: 1,
  anonymous: false,
};

const ENGINE_SERVICE_DEFAULTS = {
  name: ENGINE_SERVICE,
  max_connections: 100,
  engine: { slots: 24, kv_capacity_tokens: 34_000, stride: 4, moves: true, backups: true },
};

const CALLER_LIMITS = {
  max_header_bytes: 16_384,
  max_body_bytes: 65_536,
  header_timeout_ms: 3_000,
  idle_timeout_ms: 15_000,
};

/** Creates a configuration with the default routes, without its version; `routeFields` apply to each of them. */
export function createConfiguration(engineServiceFields: object, routeFields: object = {}): object {
  const createRoute = createRouteWith(routeFields);
  return {
    routes: [
      createRoute("lookup", "idempotent", { max_attempts: 2 }),
      createRoute("status", "idempotent", { max_attempts: 3 }),
      createRoute("file", "non_idempotent", {}),
      createRoute("draft", "streaming", { target_gap_ms: 180 }),
      createRoute("answer", "streaming", { target_gap_ms: 180, resumable: true, max_attempts: 2 }),
      createRoute("short", "idempotent", { timeout_ms: 200 }),
    ],
    services: [
      { name: PLAIN_SERVICE, max_connections: 100 },
      { ...ENGINE_SERVICE_DEFAULTS, ...engineServiceFields },
    ],
    limits: CALLER_LIMITS,
    tenants: [{ name: "acme", api_keys: [callerRequests.API_KEY] }],
  };
}

function createRouteWith(routeFields: object) {
  return (name: string, kind: string, fields: object): object => ({
    name,
    host: callerRequests.HOST,
    path_prefix: `/${name}/`,
    kind,
    service: kind === "streaming" ? ENGINE_SERVICE : PLAIN_SERVICE,
    ...ROUTE_DEFAULTS,
    ...fields,
    ...routeFields,
  });
}

import type * as types from "../types.js";

/** Lists the services that a configuration names, by themselves or in its routes; a name may come twice. */
export function listServiceNames({ routes, services }: types.Configuration): readonly string[] {
  const routed = routes.flatMap(({ shares }) => shares.map(({ serviceName }) => serviceName));
  return [...services.map(({ name }) => name), ...routed];
}

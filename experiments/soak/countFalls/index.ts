import type * as backendServers from "../../../standins/platform/backendServer/index.js";

/** Counts how often servers crashed as they had to reject too many requests. */
export function countFalls(servers: readonly backendServers.BackendServer[]): number {
  return servers.reduce((sum, { overloadCrashesCount }) => sum + overloadCrashesCount, 0);
}

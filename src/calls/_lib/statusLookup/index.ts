import type * as clocks from "../../../_lib/clock/index.js";
import type * as backends from "../../../backends/types.js";
import * as replication from "../../../replication/index.js";
import type * as types from "../../types.js";
import * as constants from "../../constants.js";
import type * as serverPool from "../serverPool/index.js";

const STATUS_OK = 200;

/** Dependencies of a status lookup. */
export interface LookupDependencies {
  readonly clock: clocks.Clock;
  readonly pool: serverPool.ServerPool;
}

/**
 * Requests the outcome of the call with a key from the service, once.
 *
 * @param key - idempotency key that the call was sent with
 * @param remainingMs - time until the caller's deadline; limits the lookup
 * @returns the answer that the service stored; null if it has none or does not answer, or if no
 *   lookup is possible (no status path, no time or no usable server)
 */
export async function lookUpStatus(
  dependencies: LookupDependencies,
  request: types.CallRequest,
  key: string,
  remainingMs: number,
): Promise<backends.ServiceAnswer | null> {
  const { entry } = request;
  if (entry.statusPath === undefined || remainingMs <= 0) return null;
  const server = dependencies.pool.acquire(entry.service, new Set());
  if (server === null) return null;
  const timeoutMs = Math.min(remainingMs, constants.STATUS_TIMEOUT_MS);
  const work = server.client.call({
    method: "GET",
    path: entry.statusPath.replaceAll("{key}", encodeURIComponent(key)),
    headers: { [constants.KEY_HEADER]: key },
    body: new Uint8Array(0),
    timeoutMs,
    isIdempotent: true,
  });
  const limitedStep = { step: "call.status", peer: server.backend.name };
  const result = await replication.limitTime(dependencies.clock, timeoutMs, work, limitedStep);
  server.recordResult(result.isOk());
  return result.isOk() && result.value.statusCode === STATUS_OK ? result.value : null;
}

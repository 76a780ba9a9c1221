import * as dispatch from "../../../dispatch/index.js";
import type * as types from "../../engineDispatcher/types.js";
import type * as localWaitings from "../localWaiting/index.js";

/** The queue of a service in the order of all VMs, and what it allocates to the first generations. */
export interface ScannedQueue {
  readonly ordered: readonly dispatch.FleetWaiting[];
  readonly candidates: readonly dispatch.EngineCandidate[];
  readonly allocated: ReadonlyMap<dispatch.FleetWaiting, dispatch.EngineCandidate>;
  /** Shares of the accounts; null unless several of them want memory that does not suffice. */
  readonly shares: dispatch.AccountShares | null;
}

/** Orders the generations that wait at all VMs for a service, and allocates the engines' capacity to them. */
export function scanQueue(
  { claims, clock, fleetQueue, vmName }: types.DispatcherContext,
  serviceName: string,
  local: readonly localWaitings.LocalWaitingGeneration[],
  candidates: readonly dispatch.EngineCandidate[],
): ScannedQueue {
  const nowWallMs = clock.wallTimeMs();
  const others = fleetQueue.listByService(serviceName);
  const byUrgency = dispatch.orderWaiting<dispatch.FleetWaiting>([...local, ...others], nowWallMs);
  const isCompetedFor = dispatch.isCompetedFor(byUrgency, candidates);
  const runs = isCompetedFor ? claims.listRuns(candidates.map(({ serverId }) => serverId)) : [];
  const claimed = { engines: candidates, runs };
  const ordered = isCompetedFor ? dispatch.orderByShares(byUrgency, claimed, nowWallMs) : byUrgency;
  // Generations behind the last one of this VM do not affect its own allocations.
  const lastLocalIndex = ordered.findLastIndex((waiting) => waiting.vmName === vmName);
  const relevant = ordered.slice(0, lastLocalIndex + 1);
  const allocated = dispatch.allocateCapacity(relevant, candidates, nowWallMs);
  for (const other of others) fleetQueue.recordAllocation(other.requestId, allocated.has(other));
  const shares = isCompetedFor ? dispatch.computeAccountShares(ordered, claimed) : null;
  return { ordered, candidates, allocated, shares };
}

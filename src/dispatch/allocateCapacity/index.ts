import * as queueOrders from "../orderWaiting/index.js";
import * as reachability from "../selectReachableEngines/index.js";
import * as selectMigrationTargets from "../selectMigrationTarget/index.js";
import * as selectEngines from "../selectEngine/index.js";
import type * as types from "../types.js";

/**
 * Allocates the engines' capacity to the generations that wait at all VMs, in queue order. Every VM
 * computes the same allocation from the same queue and claims and dispatches its own generations,
 * so the VMs exchange no messages about it.
 *
 * The first generation that fits nowhere and can no longer be bypassed reserves one engine, the one
 * with the least committed memory. Later generations are allocated on the other engines, so that
 * memory there does not stay idle.
 *
 * Without a shared allocation, many VMs would send all their waiting generations to the same engine
 * when it starts or a long run ends, and the prompts would queue there for seconds.
 *
 * @param ordered - waiting generations of one service, in queue order
 * @param engines - engines of the service, with their claimed load
 * @param nowWallMs - current time on the wall clock
 * @returns the allocated engine of each generation that can be dispatched now
 */
export function allocateCapacity<T extends types.WaitingGeneration>(
  ordered: readonly T[],
  engines: readonly types.EngineCandidate[],
  nowWallMs: number,
): ReadonlyMap<T, types.EngineCandidate> {
  const allocated = new Map<T, types.EngineCandidate>();
  let remaining = engines;
  let isEngineReserved = false;
  let maxAvailableTokens = findMaxAvailableTokens(remaining);
  for (const waiting of ordered) {
    const isUnsatisfiable =
      !isMigrating(waiting.need) && neededTokensOf(waiting) > maxAvailableTokens;
    if (isUnsatisfiable && (isEngineReserved || queueOrders.canBeBypassed(waiting, nowWallMs)))
      continue;
    const candidates = remaining.filter(({ serverId }) => !waiting.avoidedIds.has(serverId));
    const waitedMs = nowWallMs - waiting.enqueuedAtWallMs;
    const choices = selectPermittedEngines(
      waiting.need,
      reachability.selectReachableEngines(candidates, waitedMs),
      waitedMs,
    );
    const engine = selectEngineFor(waiting, choices);
    if (engine !== undefined) {
      allocated.set(waiting, engine);
      remaining = remaining.map((other) =>
        other === engine ? withRun(engine, waiting.need) : other,
      );
      maxAvailableTokens = findMaxAvailableTokens(remaining);
      continue;
    }
    if (isEngineReserved || queueOrders.canBeBypassed(waiting, nowWallMs)) continue;
    isEngineReserved = true;
    const reserved = findLeastCommitted(choices);
    remaining = remaining.filter((other) => other !== reserved);
    maxAvailableTokens = findMaxAvailableTokens(remaining);
  }
  return allocated;
}

function neededTokensOf({ need }: types.WaitingGeneration): number {
  return selectEngines.estimateTokens(need);
}

/**
 * Most tokens available on any engine; generations that need more are skipped without a full
 * search.
 */
function findMaxAvailableTokens(engines: readonly types.EngineCandidate[]): number {
  return engines.reduce(
    (most, engine) => Math.max(most, selectEngines.availableTokens(engine)),
    -1,
  );
}

/**
 * Restricts a generation for which its data centre has no capacity to the engines there until it has
 * waited as long as another one costs. Where its data centre has capacity the engines' costs decide,
 * which contain the distance. Migrating runs, and generations without an engine in their data
 * centre, may use all.
 *
 * The load pattern: demand that rises and falls in each data centre at another time. Since all VMs
 * allocate from the same claims, the overflow of several data centres goes to the engines with the
 * most free memory, wherever they are.
 */
function selectPermittedEngines(
  need: types.GenerationNeed,
  engines: readonly types.EngineCandidate[],
  waitedMs: number,
): readonly types.EngineCandidate[] {
  if (isMigrating(need)) return engines;
  const sameDataCentre = engines.filter(({ dataCentre }) => dataCentre === need.dataCentre);
  const isLocalFull = !sameDataCentre.some((engine) => selectEngines.hasCapacity(need, engine));
  if (sameDataCentre.length === 0 || !isLocalFull) return engines;
  return engines.filter(
    ({ dataCentre, cutRiskRatio }) =>
      dataCentre === need.dataCentre ||
      waitedMs >= selectEngines.computeDistanceCostMs(need, cutRiskRatio),
  );
}

function selectEngineFor(
  { need, requestId }: types.WaitingGeneration,
  engines: readonly types.EngineCandidate[],
): types.EngineCandidate | undefined {
  return isMigrating(need)
    ? selectMigrationTargets.selectMigrationTarget(need, engines, requestId)
    : selectEngines.selectEngine(need, engines);
}

/**
 * Whether a run migrates with its memory; its engine shuts down soon, so it may use fuller engines.
 */
function isMigrating(need: types.GenerationNeed): boolean {
  return need.unreadTokens === 0 && need.producedTokens > 0;
}

function withRun(engine: types.EngineCandidate, need: types.GenerationNeed): types.EngineCandidate {
  const usedTokens = need.promptTokens + need.producedTokens;
  return {
    ...engine,
    committedTokens: engine.committedTokens + selectEngines.estimateTokens(need),
    usedTokens: engine.usedTokens + usedTokens,
    incomingTokens: engine.incomingTokens + (isMigrating(need) ? usedTokens : 0),
    backlogTokens: engine.backlogTokens + need.unreadTokens,
    runningCount: engine.runningCount + 1,
  };
}

function findLeastCommitted(
  engines: readonly types.EngineCandidate[],
): types.EngineCandidate | undefined {
  let best: types.EngineCandidate | undefined;
  for (const engine of engines) {
    if (engine.overdueCount > 0) continue;
    if (best === undefined || engine.committedTokens < best.committedTokens) best = engine;
  }
  return best;
}

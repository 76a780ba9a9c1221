import * as placementQueues from "../placementQueue/index.js";
import * as reachableEngines from "../reachableEngines/index.js";
import * as selectMoveTargets from "../selectMoveTarget/index.js";
import * as selectEngines from "../selectEngine/index.js";
import type * as types from "../types.js";

/**
 * Allots the engines' room to the generations that wait at all VMs, in their order. Each VM works
 * this out for itself from the same queue and claims, and takes what its own generations are
 * allotted, so that no word is needed about who takes what.
 *
 * The first that has waited for long without room keeps one engine for itself, the emptiest, until
 * that has room; the others are allotted on, so that small holes are filled meanwhile.
 *
 * Answers room that appears at one moment before many VMs, when an engine starts or a long run ends:
 * each on its own would send all that it holds there, and prompts would wait for each other for
 * seconds.
 *
 * @param ordered - waiting generations of one service, in their order
 * @returns the engines of those that have room now
 */
export function allotRoom<T extends types.WaitingGeneration>(
  ordered: readonly T[],
  engines: readonly types.EngineCandidate[],
  nowWallMs: number,
): ReadonlyMap<T, types.EngineCandidate> {
  const allotted = new Map<T, types.EngineCandidate>();
  let left = engines;
  let isEngineKept = false;
  let largestRoomTokens = largestRoom(left);
  for (const waiting of ordered) {
    const isHopeless = !isMoving(waiting.need) && neededBy(waiting) > largestRoomTokens;
    if (isHopeless && (isEngineKept || placementQueues.mayBeOvertaken(waiting, nowWallMs)))
      continue;
    const allowed = left.filter(({ serverId }) => !waiting.avoidedIds.has(serverId));
    const waitedMs = nowWallMs - waiting.enqueuedAtWallMs;
    const choices = nearEnough(
      waiting.need,
      reachableEngines.reachableEngines(allowed, waitedMs),
      waitedMs,
    );
    const engine = chooseFor(waiting.need, choices);
    if (engine !== undefined) {
      allotted.set(waiting, engine);
      left = left.map((other) => (other === engine ? withRun(engine, waiting.need) : other));
      largestRoomTokens = largestRoom(left);
      continue;
    }
    if (isEngineKept || placementQueues.mayBeOvertaken(waiting, nowWallMs)) continue;
    isEngineKept = true;
    const kept = emptiest(choices);
    left = left.filter((other) => other !== kept);
    largestRoomTokens = largestRoom(left);
  }
  return allotted;
}

function neededBy({ need }: types.WaitingGeneration): number {
  return selectEngines.neededTokens(need);
}

/** The largest room of any engine; where all are full, a long queue costs next to nothing. */
function largestRoom(engines: readonly types.EngineCandidate[]): number {
  return engines.reduce((most, engine) => Math.max(most, selectEngines.roomTokens(engine)), -1);
}

/** A generation waits for room in its data centre for as long as leaving that would cost. */
function nearEnough(
  need: types.GenerationNeed,
  engines: readonly types.EngineCandidate[],
  waitedMs: number,
): readonly types.EngineCandidate[] {
  if (isMoving(need) || waitedMs >= selectEngines.distanceCostMs(need)) return engines;
  const near = engines.filter(({ dataCentre }) => dataCentre === need.dataCentre);
  return near.length > 0 ? near : engines;
}

function chooseFor(
  need: types.GenerationNeed,
  engines: readonly types.EngineCandidate[],
): types.EngineCandidate | undefined {
  return isMoving(need)
    ? selectMoveTargets.selectMoveTarget(need, engines)
    : selectEngines.selectEngine(need, engines);
}

/** Whether a run brings its memory along; it may go where a new one may not, and has no time. */
function isMoving(need: types.GenerationNeed): boolean {
  return need.unreadTokens === 0 && need.producedTokens > 0;
}

function withRun(engine: types.EngineCandidate, need: types.GenerationNeed): types.EngineCandidate {
  return {
    ...engine,
    committedTokens: engine.committedTokens + selectEngines.neededTokens(need),
    usedTokens: engine.usedTokens + need.promptTokens + need.producedTokens,
    backlogTokens: engine.backlogTokens + need.unreadTokens,
    runningCount: engine.runningCount + 1,
  };
}

function emptiest(engines: readonly types.EngineCandidate[]): types.EngineCandidate | undefined {
  let best: types.EngineCandidate | undefined;
  for (const engine of engines) {
    if (engine.overdueCount > 0) continue;
    if (best === undefined || engine.committedTokens < best.committedTokens) best = engine;
  }
  return best;
}

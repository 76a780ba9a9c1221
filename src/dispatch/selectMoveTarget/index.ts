import * as constants from "../constants.js";
import * as selectEngines from "../selectEngine/index.js";
import type * as types from "../types.js";

/**
 * Chooses the engine to which the memory of a run moves: one in the data centre of the engine that
 * leaves, since memory takes twice as long between data centres and the engine is soon gone, or else
 * any. Where none has room for all that its runs are expected to produce, one is taken that has room
 * for now: a run that is preempted there later goes on after a pause, one that stays where it is
 * ends cut.
 *
 * Answers engines that leave while all others are near their limit.
 *
 * @param need - of the run, from the data centre of the engine that leaves
 * @returns undefined where no engine has room even for now
 */
export function selectMoveTarget(
  need: types.GenerationNeed,
  engines: readonly types.EngineCandidate[],
): types.EngineCandidate | undefined {
  const near = engines.filter(({ dataCentre }) => dataCentre === need.dataCentre);
  return (
    selectEngines.selectEngine(need, near) ??
    leastUsed(need, near) ??
    selectEngines.selectEngine(need, engines) ??
    leastUsed(need, engines)
  );
}

function leastUsed(
  need: types.GenerationNeed,
  engines: readonly types.EngineCandidate[],
): types.EngineCandidate | undefined {
  const neededTokens = need.promptTokens + need.producedTokens;
  let best: types.EngineCandidate | undefined;
  let lowestRatio = constants.MAX_USED_RATIO;
  for (const engine of engines) {
    if (engine.runningCount >= engine.slotsCount || engine.overdueCount > 0) continue;
    const usedRatio = (engine.usedTokens + neededTokens) / engine.memoryTokens;
    if (engine.isCutOff || usedRatio >= lowestRatio) continue;
    best = engine;
    lowestRatio = usedRatio;
  }
  return best;
}

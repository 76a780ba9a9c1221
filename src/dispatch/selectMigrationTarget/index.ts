import * as constants from "../constants.js";
import * as selectEngines from "../selectEngine/index.js";
import type * as types from "../types.js";

/**
 * Selects the engine to which a run migrates with its memory. Engines in the data centre of the
 * leaving engine are preferred, since a transfer between data centres takes twice as long and the
 * engine is shut down soon. If no engine has capacity for the expected growth of its runs, one with
 * enough memory for their current size is selected: a run that is preempted there later continues
 * after a pause, while a run that stays on the leaving engine is interrupted.
 *
 * @param need - need of the run, with the data centre of the leaving engine
 * @returns undefined where no engine has enough memory even for the current size
 */
export function selectMigrationTarget(
  need: types.GenerationNeed,
  engines: readonly types.EngineCandidate[],
): types.EngineCandidate | undefined {
  const sameDataCentre = engines.filter(({ dataCentre }) => dataCentre === need.dataCentre);
  return (
    selectEngines.selectEngine(need, sameDataCentre) ??
    findLeastUsed(need, sameDataCentre) ??
    selectEngines.selectEngine(need, engines) ??
    findLeastUsed(need, engines)
  );
}

function findLeastUsed(
  need: types.GenerationNeed,
  engines: readonly types.EngineCandidate[],
): types.EngineCandidate | undefined {
  const neededTokens = need.promptTokens + need.producedTokens;
  let best: types.EngineCandidate | undefined;
  let lowestRatio = constants.MAX_MIGRATION_USED_RATIO;
  for (const engine of engines) {
    if (engine.runningCount >= engine.slotsCount || engine.overdueCount > 0) continue;
    const usedRatio = (engine.usedTokens + neededTokens) / engine.memoryTokens;
    if (engine.isPartitioned || usedRatio >= lowestRatio) continue;
    best = engine;
    lowestRatio = usedRatio;
  }
  return best;
}

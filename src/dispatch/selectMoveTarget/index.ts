import * as selectEngines from "../selectEngine/index.js";
import type * as types from "../types.js";

/**
 * Chooses the engine to which the memory of a run moves: one with room in the data centre of the
 * engine that leaves, since memory takes twice as long between data centres, or else any.
 */
export function selectMoveTarget(
  need: types.GenerationNeed,
  engines: readonly types.EngineCandidate[],
  fromDataCentre: string,
): types.EngineCandidate | undefined {
  const near = engines.filter(({ dataCentre }) => dataCentre === fromDataCentre);
  const nearNeed = { ...need, dataCentre: fromDataCentre };
  return selectEngines.selectEngine(nearNeed, near) ?? selectEngines.selectEngine(need, engines);
}

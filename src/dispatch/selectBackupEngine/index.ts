import * as constants from "../constants.js";
import * as selectEngines from "../selectEngine/index.js";
import type * as types from "../types.js";

/**
 * Selects the engine that keeps a backup of a run's memory: the one with the lowest sum of
 * committed memory and failure ratio, as long as the backup leaves memory for the engine's own
 * runs. The backup allows a long output to continue after its engine fails or is reclaimed. A run in
 * another data centre than its caller's VM gets its backup near the VM if one is suitable there, so
 * that its stream also continues after a cut between the two.
 *
 * @param runServerId - the engine that executes the run; excluded
 * @returns undefined where no engine is suitable for a backup
 */
export function selectBackupEngine(
  need: types.GenerationNeed,
  engines: readonly types.EngineCandidate[],
  runServerId: string,
): types.EngineCandidate | undefined {
  const run = engines.find(({ serverId }) => serverId === runServerId);
  const isRemote = run !== undefined && run.dataCentre !== need.dataCentre;
  const near = engines.filter(({ dataCentre }) => dataCentre === need.dataCentre);
  const nearest = isRemote ? findLeastCommitted(need, near, runServerId) : undefined;
  return nearest ?? findLeastCommitted(need, engines, runServerId);
}

function findLeastCommitted(
  need: types.GenerationNeed,
  engines: readonly types.EngineCandidate[],
  runServerId: string,
): types.EngineCandidate | undefined {
  let best: types.EngineCandidate | undefined;
  let lowestRatio = constants.MAX_BACKUP_COMMITTED_RATIO;
  for (const engine of engines) {
    if (engine.serverId === runServerId || engine.isPartitioned || engine.overdueCount > 0)
      continue;
    const ratio =
      (engine.committedTokens + selectEngines.estimateTokens(need)) / engine.memoryTokens +
      engine.failureRatio;
    if (ratio >= lowestRatio) continue;
    best = engine;
    lowestRatio = ratio;
  }
  return best;
}

import * as constants from "../constants.js";
import * as selectEngines from "../selectEngine/index.js";
import type * as types from "../types.js";

/**
 * Selects the engine that keeps a backup of a run's memory: the one with the lowest sum of
 * committed memory and failure ratio, as long as the backup leaves memory for the engine's own
 * runs. The backup allows a long output to continue after its engine fails or is reclaimed.
 *
 * @param runServerId - the engine that executes the run; excluded
 * @returns undefined where no engine is suitable for a backup
 */
export function selectBackupEngine(
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

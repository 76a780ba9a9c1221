import * as constants from "../constants.js";
import * as selectEngines from "../selectEngine/index.js";
import type * as types from "../types.js";

/**
 * Chooses the engine that keeps a copy of a run's memory: the emptiest, if copies leave it room
 * for runs of its own.
 *
 * Answers engines that die or are reclaimed in the middle of long outputs.
 *
 * @returns undefined where no engine has that much room
 */
export function selectBackupEngine(
  need: types.GenerationNeed,
  engines: readonly types.EngineCandidate[],
  runServerId: string,
): types.EngineCandidate | undefined {
  let best: types.EngineCandidate | undefined;
  let lowestRatio = constants.MAX_BACKUP_COMMITTED_RATIO;
  for (const engine of engines) {
    if (engine.serverId === runServerId || engine.isCutOff || engine.overdueCount > 0) continue;
    const ratio =
      (engine.committedTokens + selectEngines.neededTokens(need)) / engine.memoryTokens +
      engine.failureRatio;
    if (ratio >= lowestRatio) continue;
    best = engine;
    lowestRatio = ratio;
  }
  return best;
}

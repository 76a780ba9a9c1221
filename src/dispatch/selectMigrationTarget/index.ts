import * as constants from "../constants.js";
import * as selectEngines from "../selectEngine/index.js";
import type * as types from "../types.js";

const FNV_OFFSET_BASIS = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/**
 * Selects the engine to which a run migrates with its memory. Engines in the data centre of the
 * leaving engine are preferred, since a transfer between data centres takes twice as long and the
 * engine is shut down soon. An engine whose link has as much to transfer for other runs already is
 * no better than one elsewhere. The load pattern: several engines leave at the same moment, and
 * their runs would all migrate to the one with the most free memory and wait for its link; the
 * request id spreads them until the claims of the first are known. If no engine has capacity for the expected growth of its runs, one with
 * enough memory for their current size is selected: a run that is preempted there later continues
 * after a pause, while a run that stays on the leaving engine is interrupted.
 *
 * @param need - need of the run, with the data centre of the leaving engine
 * @param requestId - the run's
 * @returns undefined where no engine has enough memory even for the current size
 */
export function selectMigrationTarget(
  need: types.GenerationNeed,
  engines: readonly types.EngineCandidate[],
  requestId: string,
): types.EngineCandidate | undefined {
  const sameDataCentre = engines.filter(({ dataCentre }) => dataCentre === need.dataCentre);
  const usedTokens = need.promptTokens + need.producedTokens;
  const isIdle = (engine: types.EngineCandidate): boolean => engine.incomingTokens < usedTokens;
  const select = (from: readonly types.EngineCandidate[]): types.EngineCandidate | undefined =>
    selectEngines.selectEngine(need, from, (engine) => {
      const { incomingTokens, transferTokensPerMs, serverId } = engine;
      const spreadTokens = usedTokens * hashToShare(`${requestId} ${serverId}`);
      return (incomingTokens + spreadTokens) / transferTokensPerMs;
    });
  return (
    select(sameDataCentre.filter(isIdle)) ??
    findLeastUsed(need, sameDataCentre.filter(isIdle)) ??
    select(engines.filter(isIdle)) ??
    select(sameDataCentre) ??
    findLeastUsed(need, sameDataCentre) ??
    select(engines) ??
    findLeastUsed(need, engines)
  );
}

/** Maps a text to a share from 0 to below 1, the same on all VMs (FNV-1a). */
function hashToShare(text: string): number {
  let hash = FNV_OFFSET_BASIS;
  for (let index = 0; index < text.length; index += 1)
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  return (hash >>> 0) / 2 ** 32;
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

import * as constants from "../constants.js";
import * as estimateFirstEvents from "../estimateFirstEvent/index.js";
import * as estimateOutput from "../estimateOutput/index.js";
import type * as types from "../types.js";

/** Memory that a generation is expected to take, in tokens. */
export function neededTokens(need: types.GenerationNeed): number {
  const restTokens = estimateOutput.estimateRest(need.expectedOutputTokens, need.producedTokens);
  return need.promptTokens + need.producedTokens + constants.EXPECTED_REST_RATIO * restTokens;
}

/** Whether an engine has room for a generation, by what is expected of all of its runs. */
export function hasRoom(need: types.GenerationNeed, engine: types.EngineCandidate): boolean {
  return neededTokens(need) <= roomTokens(engine);
}

/** Memory that an engine has left for one generation; an empty one takes any, a stuck one none. */
export function roomTokens(engine: types.EngineCandidate): number {
  if (engine.runningCount >= engine.slotsCount || engine.overdueCount > 0) return -1;
  if (engine.runningCount === 0 && engine.committedTokens === 0) return Infinity;
  return constants.MAX_COMMITTED_RATIO * engine.memoryTokens - engine.committedTokens;
}

/**
 * Chooses the engine for a generation: the one that is expected to give the first event soonest,
 * with a cost for memory that fills up, for failures and for other data centres.
 *
 * Answers the load in which prompts that arrive within one lag of the load reports pile up on the
 * engine that looked free.
 *
 * @returns undefined where no engine has room
 */
export function selectEngine(
  need: types.GenerationNeed,
  engines: readonly types.EngineCandidate[],
): types.EngineCandidate | undefined {
  let best: types.EngineCandidate | undefined;
  let lowestCostMs = Infinity;
  for (const engine of engines) {
    if (!hasRoom(need, engine)) continue;
    const costMs = costOf(need, engine);
    if (costMs >= lowestCostMs) continue;
    best = engine;
    lowestCostMs = costMs;
  }
  return best;
}

/** Cost of an engine in another data centre, in milliseconds of first-event time. */
export function distanceCostMs(need: types.GenerationNeed): number {
  const runMs = constants.TOKEN_MS * need.expectedOutputTokens;
  return constants.OTHER_DATA_CENTRE_COST_MS + constants.OTHER_DATA_CENTRE_COST_RATIO * runMs;
}

function costOf(need: types.GenerationNeed, engine: types.EngineCandidate): number {
  const fullRatio = (engine.committedTokens + neededTokens(need)) / engine.memoryTokens;
  const distanceMs = engine.dataCentre === need.dataCentre ? 0 : distanceCostMs(need);
  return (
    estimateFirstEvents.estimateFirstEvent(need, engine) +
    constants.FULL_MEMORY_COST_MS * fullRatio ** 2 +
    constants.FAILURE_COST_MS * engine.failureRatio ** 2 +
    (engine.isCutOff ? constants.CUT_OFF_COST_MS : 0) +
    distanceMs
  );
}

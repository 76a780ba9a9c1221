import * as constants from "../constants.js";
import * as estimateFirstEvents from "../estimateFirstEvent/index.js";
import * as estimateRemainingOutputs from "../estimateRemainingOutput/index.js";
import type * as types from "../types.js";

/** Estimates the memory that a generation will use on an engine, in tokens. */
export function estimateTokens(need: types.GenerationNeed): number {
  const remainingTokens = estimateRemainingOutputs.estimateRemainingOutput(
    need.expectedOutputTokens,
    need.producedTokens,
  );
  return (
    need.promptTokens + need.producedTokens + constants.REMAINING_OUTPUT_RATIO * remainingTokens
  );
}

/** Whether an engine has capacity for a generation, given the expected memory of its runs. */
export function hasCapacity(need: types.GenerationNeed, engine: types.EngineCandidate): boolean {
  return estimateTokens(need) <= availableTokens(engine);
}

/**
 * Tokens available for one generation: Infinity on an empty engine, -1 on one without a free slot
 * or with an overdue run.
 */
export function availableTokens(engine: types.EngineCandidate): number {
  if (engine.runningCount >= engine.slotsCount || engine.overdueCount > 0) return -1;
  if (engine.runningCount === 0 && engine.committedTokens === 0) return Infinity;
  return constants.MAX_COMMITTED_RATIO * engine.memoryTokens - engine.committedTokens;
}

/**
 * Selects the engine for a generation: the one with the earliest expected first event, plus costs
 * for committed memory, failures, suspected partitions, long pauses, slow output and other data centres. The load comes from
 * claims instead of load reports, whose delay would let prompts pile up on one engine that looked
 * free.
 *
 * @param addedCostMs - cost of an engine beside these
 * @returns undefined where no engine has capacity
 */
export function selectEngine(
  need: types.GenerationNeed,
  engines: readonly types.EngineCandidate[],
  addedCostMs: (engine: types.EngineCandidate) => number = () => 0,
): types.EngineCandidate | undefined {
  let best: types.EngineCandidate | undefined;
  let lowestCostMs = Infinity;
  for (const engine of engines) {
    if (!hasCapacity(need, engine)) continue;
    const costMs = computeCostMs(need, engine) + addedCostMs(engine);
    if (costMs >= lowestCostMs) continue;
    best = engine;
    lowestCostMs = costMs;
  }
  return best;
}

/**
 * Computes the cost of an engine in another data centre, as added milliseconds to the first event.
 *
 * @param cutRiskRatio - cost of the stream, as a share of its duration
 */
export function computeDistanceCostMs(
  need: types.GenerationNeed,
  cutRiskRatio: number = constants.CUT_RISK_RATIO,
): number {
  const runMs = constants.TOKEN_TIME_MS * need.expectedOutputTokens;
  return constants.OTHER_DATA_CENTRE_COST_MS + cutRiskRatio * runMs;
}

function computeCostMs(need: types.GenerationNeed, engine: types.EngineCandidate): number {
  const committedRatio = (engine.committedTokens + estimateTokens(need)) / engine.memoryTokens;
  const isNear = engine.dataCentre === need.dataCentre;
  const distanceMs = isNear ? 0 : computeDistanceCostMs(need, engine.cutRiskRatio);
  return (
    estimateFirstEvents.estimateFirstEvent(need, engine) +
    constants.FULL_MEMORY_COST_MS * committedRatio ** 2 +
    constants.FAILURE_COST_MS * engine.failureRatio ** 2 +
    (engine.isPartitioned ? constants.PARTITION_COST_MS : 0) +
    computePausesCostMs(need, engine) +
    computeOccupancyCostMs(need, engine) +
    distanceMs
  );
}

/**
 * Computes the cost of pauses that are longer than the route allows: long runs meet them, short ones
 * rarely do.
 */
function computePausesCostMs(need: types.GenerationNeed, engine: types.EngineCandidate): number {
  if (engine.runningCount < engine.smoothRunsCount) return 0;
  const metShare = Math.min(1, computeRemainingMs(need) / constants.DISTURBED_RUN_MS);
  return constants.LONG_PAUSES_COST_MS * metShare;
}

/**
 * Computes what a run's duration costs the runs that need its memory next, against a typical
 * engine: a slow engine holds the run's share of its memory for longer, a fast one releases it
 * sooner. Long outputs therefore go to fast engines, and short ones may use slow engines.
 */
function computeOccupancyCostMs(need: types.GenerationNeed, engine: types.EngineCandidate): number {
  const addedMs = computeRemainingMs(need) * (engine.writingRatio - 1);
  return (addedMs * estimateTokens(need)) / engine.memoryTokens;
}

/** Expected time for the rest of a run's output on a typical engine. */
function computeRemainingMs({
  expectedOutputTokens,
  producedTokens,
}: types.GenerationNeed): number {
  const { estimateRemainingOutput } = estimateRemainingOutputs;
  return constants.TOKEN_TIME_MS * estimateRemainingOutput(expectedOutputTokens, producedTokens);
}

import type * as types from "../types.js";

type MutableCounters = { -readonly [K in keyof types.EngineCounters]: types.EngineCounters[K] };

/** Creates the counters of an engine that has done nothing yet. */
export function createCounters(): MutableCounters {
  return {
    preemptionsCount: 0,
    tokensProducedCount: 0,
    tokensRecomputedCount: 0,
    startedCount: 0,
    finishedCount: 0,
    cancelledCount: 0,
  };
}

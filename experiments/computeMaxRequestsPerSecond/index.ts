import type * as types from "../types.js";

/** Mean demand of a request that one group of engines serves. */
export interface MeanDemand {
  readonly outputTokens: number;
  readonly promptTokens: number;
  /** Sum over all decoding steps of the tokens held in memory: the prompt and the output so far. */
  readonly tokenSteps: number;
}

/** Computes the mean demand of planned requests. */
export function computeMeanDemand(requests: readonly types.PlannedRequest[]): MeanDemand {
  let outputTokens = 0;
  let promptTokens = 0;
  let tokenSteps = 0;
  for (const request of requests) {
    outputTokens += request.trueTokens;
    promptTokens += request.promptTokens;
    tokenSteps += request.promptTokens * request.trueTokens + request.trueTokens ** 2 / 2;
  }
  const count = Math.max(1, requests.length);
  return {
    outputTokens: outputTokens / count,
    promptTokens: promptTokens / count,
    tokenSteps: tokenSteps / count,
  };
}

/**
 * Computes the requests per second that a group of engines serves at load 1: if memory or batch is
 * always exactly full and no token is computed twice.
 */
export function computeMaxRequestsPerSecond(group: types.EngineGroup, demand: MeanDemand): number {
  const { engine } = group;
  const byMemory = engine.capacityTokens / demand.tokenSteps;
  const byBatch = engine.maxRunningCount / demand.outputTokens;
  const requestsPerStep = Math.min(byMemory, byBatch);
  const runningCount = requestsPerStep * demand.outputTokens;
  const contextTokens = requestsPerStep * demand.tokenSteps;
  const stepMs =
    engine.stepBaseMs +
    runningCount * engine.stepPerSequenceMs +
    contextTokens * engine.stepPerContextTokenMs +
    requestsPerStep * demand.promptTokens * engine.stepPerPrefillTokenMs;
  return (group.count * requestsPerStep * 1_000) / stepMs;
}

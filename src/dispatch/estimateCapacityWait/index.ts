/** Queue and engine state of a service from which a wait for capacity is estimated. */
export interface CapacityForecast {
  /** Memory that generations ahead in the queue require. */
  readonly aheadTokens: number;
  /** Memory that the generation itself requires. */
  readonly neededTokens: number;
  /** Memory of all engines that no run is expected to use. */
  readonly freeTokens: number;
  /** Recent rate at which ended runs released memory. */
  readonly releaseTokensPerMs: number;
}

/**
 * Expected time until a generation fits, in milliseconds; Infinity where no memory is being
 * released.
 */
export function estimateCapacityWait(forecast: CapacityForecast): number {
  const missingTokens = forecast.aheadTokens + forecast.neededTokens - forecast.freeTokens;
  if (missingTokens <= 0) return 0;
  if (forecast.releaseTokensPerMs <= 0) return Infinity;
  return missingTokens / forecast.releaseTokensPerMs;
}

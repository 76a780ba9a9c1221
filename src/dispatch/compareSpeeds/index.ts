import * as constants from "../constants.js";

/** A weighted mean of observations; the weight is their duration. */
export interface Observed {
  readonly mean: number;
  readonly weightMs: number;
}

/** What all VMs have observed of one engine. */
export interface ObservedSpeed {
  readonly serverId: string;
  /** Logarithm of the observed by the nominal time to a first event. */
  readonly reading: Observed;
  /** Logarithm of the observed by the nominal time of output tokens. */
  readonly writing: Observed;
  /**
   * Longest pauses that single VMs have seen there lately, as if the stream ran alone, by the time
   * of a token on the engine.
   */
  readonly pauseTokens: readonly number[];
}

/** How an engine differs from the typical engine of its service. */
export interface EngineSpeed {
  /** Time for reading a prompt, as a multiple of the typical engine's; 1 if unknown. */
  readonly readingRatio: number;
  /** Time for writing output, as a multiple of the typical engine's; 1 if unknown. */
  readonly writingRatio: number;
  /** Longest pause that a long stream has to expect there if it ran alone; 0 if unknown. */
  readonly pauseMs: number;
}

/** Speed of an engine of which nothing is known. */
export const TYPICAL_SPEED: EngineSpeed = { readingRatio: 1, writingRatio: 1, pauseMs: 0 };

/**
 * Compares the engines of one service with their mean. The load pattern: engines that differ in
 * hardware, with disturbances of less than a second. Few observations pull a ratio towards 1, and
 * ratios within a dead band are 1, so that equal engines are treated alike. Until one of reading and
 * writing has been observed, it is assumed to be as slow as the other.
 *
 * Pauses grow with an engine's time for a token: disturbances and prompts of other runs delay a slow
 * engine by more. Each engine's are therefore expected from those of all engines, so that a slow one
 * is known for them before its streams have met a disturbance.
 *
 * @returns the speed of each engine, by id
 */
export function compareSpeeds(engines: readonly ObservedSpeed[]): ReadonlyMap<string, EngineSpeed> {
  const typicalReading = meanOf(engines.map(({ reading }) => reading));
  const typicalWriting = meanOf(engines.map(({ writing }) => writing));
  const pauseTokens = computePauseTokens(engines);
  return new Map(
    engines.map(({ serverId, reading, writing }) => {
      const readingLog = shrink(reading, typicalReading, shrink(writing, typicalWriting, 0));
      const writingLog = shrink(writing, typicalWriting, shrink(reading, typicalReading, 0));
      const tokenMs = constants.TOKEN_TIME_MS * Math.exp(typicalWriting + writingLog);
      const speed = {
        readingRatio: toRatio(readingLog),
        writingRatio: toRatio(writingLog),
        pauseMs: pauseTokens * tokenMs,
      };
      return [serverId, speed];
    }),
  );
}

/**
 * Most runs with which an engine keeps its streams' pauses within a bound: a decoding step takes
 * longer with each run. 0 if a stream alone would pause for too long.
 *
 * @param targetGapMs - bound on the pauses; null for none
 * @returns Infinity if there is no bound, or nothing is known of the engine's pauses
 */
export function countSmoothRuns({ pauseMs }: EngineSpeed, targetGapMs: number | null): number {
  if (targetGapMs === null || pauseMs <= 0) return Infinity;
  const growth = targetGapMs / pauseMs - 1;
  return Math.max(0, Math.floor(growth / constants.STEP_GROWTH_RATIO));
}

/** Factor by which the pauses of an engine's streams are longer than those of one alone. */
export function computePauseGrowth(runningCount: number): number {
  return 1 + constants.STEP_GROWTH_RATIO * runningCount;
}

/** Mean over the engines with enough observations, each engine counting once. */
function meanOf(observed: readonly Observed[]): number {
  const known = observed.filter(({ weightMs }) => weightMs >= constants.MIN_SPEED_WEIGHT_MS);
  return known.reduce((sum, { mean }) => sum + mean, 0) / Math.max(1, known.length);
}

/** The upper quartile of the observed pauses: single VMs also pause by themselves. */
function computePauseTokens(engines: readonly ObservedSpeed[]): number {
  const observed = engines.flatMap(({ pauseTokens }) => pauseTokens);
  if (observed.length < constants.MIN_PAUSES_COUNT) return 0;
  return observed.sort((left, right) => left - right)[Math.floor(0.75 * observed.length)] ?? 0;
}

function shrink({ mean, weightMs }: Observed, typical: number, assumed: number): number {
  const { SPEED_PRIOR_WEIGHT_MS } = constants;
  const weighted = weightMs * (mean - typical) + SPEED_PRIOR_WEIGHT_MS * assumed;
  return weighted / (weightMs + SPEED_PRIOR_WEIGHT_MS);
}

function toRatio(log: number): number {
  return Math.abs(log) < constants.SPEED_DEAD_BAND_LOG ? 1 : Math.exp(log);
}

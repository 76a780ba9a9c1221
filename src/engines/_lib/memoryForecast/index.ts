import * as constants from "../../constants.js";
import type * as types from "../../types.js";

const HORIZONS = constants.FORECAST_HORIZONS_STEPS;

/** Mean and variance of the memory that one generation uses at each horizon. */
export interface MemoryShare {
  readonly meansTokens: Float32Array;
  readonly variances: Float32Array;
}

/** Creates a share that is 0 at every horizon. */
export function createMemoryShare(): MemoryShare {
  return {
    meansTokens: new Float32Array(HORIZONS.length),
    variances: new Float32Array(HORIZONS.length),
  };
}

/** State of a generation from which its share is computed. */
export interface ShareInput {
  readonly lengths: types.LengthDistribution;
  readonly contextTokens: number;
  readonly producedTokens: number;
  readonly maxTokens: number;
}

/**
 * Computes a share: at each horizon the generation has either ended or grown by one token per step.
 * Each horizon uses the memory just before the next one, so that no peak between two is missed.
 *
 * @param share - overwritten
 */
export function fillMemoryShare(share: MemoryShare, input: ShareInput): void {
  const { lengths, producedTokens, maxTokens, contextTokens } = input;
  const currentSurvival = lengths.survival(producedTokens);
  for (let index = 0; index < HORIZONS.length; index += 1) {
    const steps = HORIZONS[index] ?? 0;
    const totalTokens = producedTokens + steps;
    const survivalRatio = survivalRatioAt(lengths, totalTokens, maxTokens, currentSurvival);
    const tokens = contextTokens + (HORIZONS[index + 1] ?? steps) - 1;
    share.meansTokens[index] = survivalRatio * tokens;
    share.variances[index] = survivalRatio * (1 - survivalRatio) * tokens * tokens;
  }
}

function survivalRatioAt(
  lengths: types.LengthDistribution,
  totalTokens: number,
  maxTokens: number,
  currentSurvival: number,
): number {
  if (totalTokens >= maxTokens) return 0;
  if (currentSurvival <= 0) return 1;
  return Math.min(1, lengths.survival(totalTokens) / currentSurvival);
}

/** Mean and variance of the memory that all generations of an engine use at each horizon. */
export class MemoryForecast {
  private readonly meansTokens = new Float64Array(HORIZONS.length);
  private readonly variances = new Float64Array(HORIZONS.length);

  /** Adds the share of a generation that starts. */
  add(share: MemoryShare): void {
    for (let index = 0; index < HORIZONS.length; index += 1) {
      this.meansTokens[index] = (this.meansTokens[index] ?? 0) + (share.meansTokens[index] ?? 0);
      this.variances[index] = (this.variances[index] ?? 0) + (share.variances[index] ?? 0);
    }
  }

  /** Resets the forecast to 0, which also removes accumulated rounding errors. */
  clear(): void {
    this.meansTokens.fill(0);
    this.variances.fill(0);
  }

  /** Subtracts a share that was added, unchanged since. */
  remove(share: MemoryShare): void {
    for (let index = 0; index < HORIZONS.length; index += 1) {
      this.meansTokens[index] = (this.meansTokens[index] ?? 0) - (share.meansTokens[index] ?? 0);
      this.variances[index] = (this.variances[index] ?? 0) - (share.variances[index] ?? 0);
    }
  }

  /** Largest memory use over all horizons: the mean plus a count of standard deviations. */
  peakTokens(marginDeviations: number): number {
    let peak = 0;
    for (let index = 0; index < HORIZONS.length; index += 1) {
      peak = Math.max(peak, this.requiredTokens(index, marginDeviations, 0, 0));
    }
    return peak;
  }

  /** Whether one more share stays within the limit at every horizon where it is not negligible. */
  hasCapacityFor(share: MemoryShare, marginDeviations: number, limitTokens: number): boolean {
    for (let index = 0; index < HORIZONS.length; index += 1) {
      const mean = share.meansTokens[index] ?? 0;
      const variance = share.variances[index] ?? 0;
      if (mean < constants.NEGLIGIBLE_SHARE_TOKENS) continue;
      if (this.requiredTokens(index, marginDeviations, mean, variance) > limitTokens) return false;
    }
    return true;
  }

  /**
   * Estimates the steps until a share fits, if nothing else starts before it.
   *
   * @returns a horizon in steps, or null if it fits at none
   */
  stepsUntilCapacityFor(
    share: MemoryShare,
    deviations: number,
    limitTokens: number,
  ): number | null {
    let peakMean = 0;
    for (const mean of share.meansTokens) peakMean = Math.max(peakMean, mean);
    for (let index = 0; index < HORIZONS.length; index += 1) {
      const isFitting = this.requiredTokens(index, deviations, peakMean, 0) <= limitTokens;
      if (isFitting) return HORIZONS[index] ?? 0;
    }
    return null;
  }

  private requiredTokens(
    index: number,
    deviations: number,
    mean: number,
    variance: number,
  ): number {
    const sumVariance = Math.max(0, (this.variances[index] ?? 0) + variance);
    return (this.meansTokens[index] ?? 0) + mean + deviations * Math.sqrt(sumVariance);
  }
}

import * as constants from "../../constants.js";
import type * as types from "../../types.js";

const HORIZONS_STEPS = constants.FORECAST_HORIZONS_STEPS;

/** Mean, in tokens, and variance of the memory that one generation uses at each horizon. */
export interface MemoryShare {
  readonly meansTokens: Float32Array;
  readonly variances: Float32Array;
}

/** Creates a share that is 0 at every horizon. */
export function createMemoryShare(): MemoryShare {
  return {
    meansTokens: new Float32Array(HORIZONS_STEPS.length),
    variances: new Float32Array(HORIZONS_STEPS.length),
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
  for (let index = 0; index < HORIZONS_STEPS.length; index += 1) {
    const steps = HORIZONS_STEPS[index] ?? 0;
    const totalTokens = producedTokens + steps;
    const survivalRatio = computeSurvivalRatio(lengths, totalTokens, maxTokens, currentSurvival);
    const tokens = contextTokens + (HORIZONS_STEPS[index + 1] ?? steps) - 1;
    share.meansTokens[index] = survivalRatio * tokens;
    share.variances[index] = survivalRatio * (1 - survivalRatio) * tokens * tokens;
  }
}

function computeSurvivalRatio(
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
  private readonly meansTokens = new Float64Array(HORIZONS_STEPS.length);
  private readonly variances = new Float64Array(HORIZONS_STEPS.length);

  /** Adds the share of a generation that starts. */
  add(share: MemoryShare): void {
    for (let index = 0; index < HORIZONS_STEPS.length; index += 1) {
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
    for (let index = 0; index < HORIZONS_STEPS.length; index += 1) {
      this.meansTokens[index] = (this.meansTokens[index] ?? 0) - (share.meansTokens[index] ?? 0);
      this.variances[index] = (this.variances[index] ?? 0) - (share.variances[index] ?? 0);
    }
  }

  /** Largest memory use over all horizons: the mean plus `marginDeviations` standard deviations. */
  computePeakTokens(marginDeviations: number): number {
    let peak = 0;
    for (let index = 0; index < HORIZONS_STEPS.length; index += 1) {
      peak = Math.max(peak, this.computeRequiredTokens(index, marginDeviations, 0, 0));
    }
    return peak;
  }

  /**
   * Whether the forecast with one more share stays within the limit where the share is not
   * negligible.
   */
  hasCapacityFor(share: MemoryShare, marginDeviations: number, limitTokens: number): boolean {
    for (let index = 0; index < HORIZONS_STEPS.length; index += 1) {
      const mean = share.meansTokens[index] ?? 0;
      const variance = share.variances[index] ?? 0;
      if (mean < constants.NEGLIGIBLE_SHARE_TOKENS) continue;
      if (this.computeRequiredTokens(index, marginDeviations, mean, variance) > limitTokens)
        return false;
    }
    return true;
  }

  /**
   * Estimates the decoding steps until the peak of a share fits, if nothing else starts before it.
   *
   * @returns the first horizon at which it fits, in steps; null if there is none
   */
  estimateStepsUntilCapacity(
    share: MemoryShare,
    deviations: number,
    limitTokens: number,
  ): number | null {
    let peakMean = 0;
    for (const mean of share.meansTokens) peakMean = Math.max(peakMean, mean);
    for (let index = 0; index < HORIZONS_STEPS.length; index += 1) {
      const isFitting = this.computeRequiredTokens(index, deviations, peakMean, 0) <= limitTokens;
      if (isFitting) return HORIZONS_STEPS[index] ?? 0;
    }
    return null;
  }

  private computeRequiredTokens(
    index: number,
    deviations: number,
    mean: number,
    variance: number,
  ): number {
    const sumVariance = Math.max(0, (this.variances[index] ?? 0) + variance);
    return (this.meansTokens[index] ?? 0) + mean + deviations * Math.sqrt(sumVariance);
  }
}

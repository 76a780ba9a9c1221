import * as constants from "../../constants.js";
import type * as types from "../../types.js";

const HORIZONS = constants.FORECAST_HORIZONS_STEPS;

/** Memory that one generation is expected to take at each horizon. */
export interface MemoryShare {
  readonly meansTokens: Float32Array;
  readonly variances: Float32Array;
}

/** A share that is still empty. */
export function createMemoryShare(): MemoryShare {
  return {
    meansTokens: new Float32Array(HORIZONS.length),
    variances: new Float32Array(HORIZONS.length),
  };
}

/** What a share is computed from. */
export interface ShareInput {
  readonly lengths: types.LengthDistribution;
  readonly contextTokens: number;
  readonly producedTokens: number;
  readonly maxTokens: number;
}

/**
 * Fills a share: at each horizon the generation has either ended, or grown by a token per step.
 * It counts with what it takes just before the next horizon, so that no peak hides between two.
 *
 * @param share - overwritten
 */
export function fillMemoryShare(share: MemoryShare, input: ShareInput): void {
  const { lengths, producedTokens, maxTokens, contextTokens } = input;
  const aliveNow = lengths.survival(producedTokens);
  for (let index = 0; index < HORIZONS.length; index += 1) {
    const steps = HORIZONS[index] ?? 0;
    const reached = producedTokens + steps;
    const alive = aliveAt(lengths, reached, maxTokens, aliveNow);
    const tokens = contextTokens + (HORIZONS[index + 1] ?? steps) - 1;
    share.meansTokens[index] = alive * tokens;
    share.variances[index] = alive * (1 - alive) * tokens * tokens;
  }
}

function aliveAt(
  lengths: types.LengthDistribution,
  reached: number,
  maxTokens: number,
  aliveNow: number,
): number {
  if (reached >= maxTokens) return 0;
  if (aliveNow <= 0) return 1;
  return Math.min(1, lengths.survival(reached) / aliveNow);
}

/** Memory that all generations of an engine together are expected to take at each horizon. */
export class MemoryForecast {
  private readonly meansTokens = new Float64Array(HORIZONS.length);
  private readonly variances = new Float64Array(HORIZONS.length);

  add(share: MemoryShare): void {
    for (let index = 0; index < HORIZONS.length; index += 1) {
      this.meansTokens[index] = (this.meansTokens[index] ?? 0) + (share.meansTokens[index] ?? 0);
      this.variances[index] = (this.variances[index] ?? 0) + (share.variances[index] ?? 0);
    }
  }

  /** Starts again from nothing, which also ends what rounding has left over. */
  clear(): void {
    this.meansTokens.fill(0);
    this.variances.fill(0);
  }

  remove(share: MemoryShare): void {
    for (let index = 0; index < HORIZONS.length; index += 1) {
      this.meansTokens[index] = (this.meansTokens[index] ?? 0) - (share.meansTokens[index] ?? 0);
      this.variances[index] = (this.variances[index] ?? 0) - (share.variances[index] ?? 0);
    }
  }

  /** The largest need at any horizon: mean plus so many deviations. */
  peakTokens(marginDeviations: number): number {
    let peak = 0;
    for (let index = 0; index < HORIZONS.length; index += 1) {
      peak = Math.max(peak, this.needTokens(index, marginDeviations, 0, 0));
    }
    return peak;
  }

  /** Whether one more share fits under the limit at every horizon that it still reaches. */
  hasRoomFor(share: MemoryShare, marginDeviations: number, limitTokens: number): boolean {
    for (let index = 0; index < HORIZONS.length; index += 1) {
      const mean = share.meansTokens[index] ?? 0;
      const variance = share.variances[index] ?? 0;
      if (mean < constants.NEGLIGIBLE_SHARE_TOKENS) continue;
      if (this.needTokens(index, marginDeviations, mean, variance) > limitTokens) return false;
    }
    return true;
  }

  /**
   * Steps until a share that starts later fits, if nothing else starts before it.
   *
   * @returns a horizon in steps, or null when none is far enough
   */
  stepsUntilRoomFor(share: MemoryShare, deviations: number, limitTokens: number): number | null {
    let peakMean = 0;
    for (const mean of share.meansTokens) peakMean = Math.max(peakMean, mean);
    for (let index = 0; index < HORIZONS.length; index += 1) {
      const isFitting = this.needTokens(index, deviations, peakMean, 0) <= limitTokens;
      if (isFitting) return HORIZONS[index] ?? 0;
    }
    return null;
  }

  private needTokens(index: number, deviations: number, mean: number, variance: number): number {
    const sumVariance = Math.max(0, (this.variances[index] ?? 0) + variance);
    return (this.meansTokens[index] ?? 0) + mean + deviations * Math.sqrt(sumVariance);
  }
}

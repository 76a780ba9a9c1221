import * as buckets from "../_lib/lengthBuckets/index.js";
import type * as types from "../types.js";

const EDGES = buckets.BUCKET_EDGES_TOKENS;

/**
 * Piecewise linear survival function of output lengths, with precomputed integrals, so that the
 * cost of a query does not depend on the count of observations.
 */
export class LengthCurve implements types.LengthDistribution {
  /** Probability that the length exceeds each edge. */
  private readonly survivals = new Float64Array(EDGES.length);
  /** Integral of the survival function from 0 to each edge. */
  private readonly areas = new Float64Array(EDGES.length);
  /** Integral of the survival function times the length from 0 to each edge. */
  private readonly moments = new Float64Array(EDGES.length);

  /** @param weights - weight of each bucket, at least one of them positive */
  constructor(weights: Float64Array) {
    let total = 0;
    for (const weight of weights) total += weight;
    let below = 0;
    this.survivals[0] = 1;
    for (let index = 0; index < weights.length; index += 1) {
      below += weights[index] ?? 0;
      this.survivals[index + 1] = Math.max(0, 1 - below / total);
      this.integrate(index);
    }
  }

  survival(tokens: number): number {
    if (tokens <= 0) return 1;
    const index = buckets.bucketIndexOf(tokens);
    const start = EDGES[index] ?? 0;
    const width = (EDGES[index + 1] ?? 0) - start;
    const from = this.survivals[index] ?? 0;
    const to = this.survivals[index + 1] ?? 0;
    return Math.max(0, from + ((to - from) * (tokens - start)) / width);
  }

  residual(producedTokens: number, maxTokens: number): types.ResidualEstimate {
    const leftTokens = Math.max(0, maxTokens - producedTokens);
    const survival = this.survival(producedTokens);
    if (leftTokens === 0) return { meanTokens: 0, deviationTokens: 0 };
    if (survival <= 0) return { meanTokens: leftTokens, deviationTokens: 0 };
    const area = this.areaUpTo(maxTokens) - this.areaUpTo(producedTokens);
    const moment = this.momentUpTo(maxTokens) - this.momentUpTo(producedTokens);
    const mean = area / survival;
    const secondMoment = (2 * (moment - producedTokens * area)) / survival;
    const variance = Math.max(0, secondMoment - mean * mean);
    return { meanTokens: Math.min(leftTokens, mean), deviationTokens: Math.sqrt(variance) };
  }

  residualQuantile(producedTokens: number, maxTokens: number, probability: number): number {
    const target = this.survival(producedTokens) * (1 - probability);
    let low = producedTokens;
    let high = Math.max(producedTokens, maxTokens);
    while (high - low > 1) {
      const middle = (low + high) / 2;
      if (this.survival(middle) > target) low = middle;
      else high = middle;
    }
    return Math.min(high, maxTokens) - Math.min(producedTokens, maxTokens);
  }

  private integrate(index: number): void {
    const end = EDGES[index + 1] ?? 0;
    this.areas[index + 1] = this.areaWithin(index, end);
    this.moments[index + 1] = this.momentWithin(index, end);
  }

  private areaUpTo(tokens: number): number {
    return this.areaWithin(buckets.bucketIndexOf(tokens), tokens);
  }

  private momentUpTo(tokens: number): number {
    return this.momentWithin(buckets.bucketIndexOf(tokens), tokens);
  }

  private areaWithin(index: number, tokens: number): number {
    const start = EDGES[index] ?? 0;
    const width = Math.max(0, tokens - start);
    const mean = ((this.survivals[index] ?? 0) + this.survival(tokens)) / 2;
    return (this.areas[index] ?? 0) + width * mean;
  }

  private momentWithin(index: number, tokens: number): number {
    const start = EDGES[index] ?? 0;
    const width = Math.max(0, tokens - start);
    const from = this.survivals[index] ?? 0;
    const slope = width === 0 ? 0 : (this.survival(tokens) - from) / width;
    const square = (start + width) ** 2 - start ** 2;
    const cube = (start + width) ** 3 - start ** 3;
    const part = ((from - slope * start) * square) / 2 + (slope * cube) / 3;
    return (this.moments[index] ?? 0) + part;
  }
}

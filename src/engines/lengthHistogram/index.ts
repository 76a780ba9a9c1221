import * as buckets from "../_lib/lengthBuckets/index.js";
import * as constants from "../constants.js";

/** Serialisable form of a histogram: weights by bucket, without trailing zeros. */
export interface LengthHistogramSnapshot {
  readonly weights: readonly number[];
}

/** Histogram of output lengths in logarithmic buckets with exponential decay per observation. */
export class LengthHistogram {
  /** Weights by bucket, multiplied by the scale. */
  readonly weights = new Float64Array(buckets.BUCKETS_COUNT);
  /** Increases with every change, so that curves built from older weights can be detected. */
  revision = 0;
  private totalWeight = 0;
  /**
   * Stored weight of the next observation; its growth decays earlier ones without rewriting them.
   */
  private scale = 1;

  constructor(private readonly halfLifeCount = constants.LENGTH_HALF_LIFE_COUNT) {}

  /** Sum of the weights, in observations. */
  get observationsCount(): number {
    return this.totalWeight / this.scale;
  }

  /** Adds one length, in tokens; a weight below 1 counts as a fraction of an observation. */
  observe(tokens: number, weight = 1): void {
    this.scale *= 2 ** (weight / this.halfLifeCount);
    this.add(buckets.bucketIndexOf(tokens), weight * this.scale);
    this.rescale();
    this.revision += 1;
  }

  /** Weight of a bucket, in observations. */
  weightOf(bucketIndex: number): number {
    return (this.weights[bucketIndex] ?? 0) / this.scale;
  }

  /** Adds the observations of another VM, multiplied by a ratio; ignores invalid weights. */
  merge(snapshot: LengthHistogramSnapshot, ratio = 1): void {
    snapshot.weights.slice(0, buckets.BUCKETS_COUNT).forEach((weight, index) => {
      if (Number.isFinite(weight) && weight > 0) this.add(index, weight * ratio * this.scale);
    });
    this.revision += 1;
  }

  /** Copies the weights, in observations. */
  snapshot(): LengthHistogramSnapshot {
    const weights = Array.from(this.weights, (weight) => weight / this.scale);
    while (weights.length > 0 && weights.at(-1) === 0) weights.pop();
    return { weights };
  }

  private add(index: number, scaledWeight: number): void {
    this.weights[index] = (this.weights[index] ?? 0) + scaledWeight;
    this.totalWeight += scaledWeight;
  }

  /** Resets the scale before it exceeds the range of floating-point numbers. */
  private rescale(): void {
    const maxScale = 1e12;
    if (this.scale < maxScale) return;
    this.totalWeight /= this.scale;
    this.weights.forEach((weight, index) => (this.weights[index] = weight / this.scale));
    this.scale = 1;
  }
}

import * as buckets from "../_lib/lengthBuckets/index.js";
import * as constants from "../constants.js";

/** A histogram as it passes between VMs: weights by bucket, trailing zeros left out. */
export interface LengthHistogramSnapshot {
  readonly weights: readonly number[];
}

/** Output lengths in logarithmic buckets; every observation weakens the earlier ones. */
export class LengthHistogram {
  readonly weights = new Float64Array(buckets.BUCKETS_COUNT);
  /** Raised by every change, so that curves built from the histogram know their age. */
  revision = 0;
  private totalWeight = 0;
  /** Weight of the next observation; growing it weakens all earlier ones without touching them. */
  private unit = 1;

  constructor(private readonly halfLifeCount = constants.LENGTH_HALF_LIFE_COUNT) {}

  /** Sum of the weights, in observations. */
  get observationsCount(): number {
    return this.totalWeight / this.unit;
  }

  /** Adds one length; a weight below 1 counts as part of an observation. */
  observe(tokens: number, weight = 1): void {
    this.unit *= 2 ** (weight / this.halfLifeCount);
    this.add(buckets.bucketIndexOf(tokens), weight * this.unit);
    this.rescale();
    this.revision += 1;
  }

  /** Weight of a bucket, in observations. */
  weightOf(bucketIndex: number): number {
    return (this.weights[bucketIndex] ?? 0) / this.unit;
  }

  /** Takes in what another VM observed, at a share of its weight. */
  merge(snapshot: LengthHistogramSnapshot, ratio = 1): void {
    snapshot.weights.slice(0, buckets.BUCKETS_COUNT).forEach((weight, index) => {
      if (Number.isFinite(weight) && weight > 0) this.add(index, weight * ratio * this.unit);
    });
    this.revision += 1;
  }

  /** The weights, in observations. */
  snapshot(): LengthHistogramSnapshot {
    const weights = Array.from(this.weights, (weight) => weight / this.unit);
    while (weights.length > 0 && weights.at(-1) === 0) weights.pop();
    return { weights };
  }

  private add(index: number, scaledWeight: number): void {
    this.weights[index] = (this.weights[index] ?? 0) + scaledWeight;
    this.totalWeight += scaledWeight;
  }

  /** Keeps the growing unit inside the range of floating-point numbers. */
  private rescale(): void {
    const largestUnit = 1e12;
    if (this.unit < largestUnit) return;
    this.totalWeight /= this.unit;
    this.weights.forEach((weight, index) => (this.weights[index] = weight / this.unit));
    this.unit = 1;
  }
}

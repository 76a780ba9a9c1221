import type * as clocks from "../../../_lib/clock/index.js";

/** A weighted mean whose weight decays, so that newer samples count more. */
export class DecayingMean {
  private sampledMean = 0;
  private sampledWeight = 0;
  private updatedAtMs: number;

  constructor(
    private readonly clock: clocks.Clock,
    private readonly halfLifeMs: number,
  ) {
    this.updatedAtMs = clock.nowMs();
  }

  /** 0 before the first sample. */
  get mean(): number {
    return this.sampledMean;
  }

  /** Sum of the samples' weights, decayed until now. */
  get weight(): number {
    return this.sampledWeight * 2 ** ((this.updatedAtMs - this.clock.nowMs()) / this.halfLifeMs);
  }

  /** Adds a sample; one without weight is ignored. */
  add(value: number, sampleWeight: number): void {
    if (sampleWeight <= 0) return;
    const totalWeight = this.weight + sampleWeight;
    this.sampledMean += (sampleWeight / totalWeight) * (value - this.sampledMean);
    this.sampledWeight = totalWeight;
    this.updatedAtMs = this.clock.nowMs();
  }
}

import type * as clocks from "../../../_lib/clock/index.js";

/** The largest sample, where older samples count less. */
export class DecayingMaximum {
  private sample = 0;
  private sampledAtMs: number;

  constructor(
    private readonly clock: clocks.Clock,
    private readonly halfLifeMs: number,
  ) {
    this.sampledAtMs = clock.nowMs();
  }

  /** 0 before the first sample. */
  get value(): number {
    return this.sample * 2 ** ((this.sampledAtMs - this.clock.nowMs()) / this.halfLifeMs);
  }

  /** Adds a sample; it replaces the maximum if it is at least as large as the decayed one. */
  add(sample: number): void {
    if (sample < this.value) return;
    this.sample = sample;
    this.sampledAtMs = this.clock.nowMs();
  }
}

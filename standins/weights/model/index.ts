import type * as clocks from "../../../src/_lib/clock/index.js";
import type * as platform from "../../../src/controlPlane/types.js";

const MS_PER_MINUTE = 60_000;

/** Simulates a store of model weights that serves a limited number of loads per minute. */
export class WeightStoreModel {
  /** Total number of loads reserved so far. */
  loadsCount = 0;
  private startedAtMs: number[] = [];

  constructor(
    private readonly clock: clocks.Clock,
    readonly loadsPerMinuteLimit: number,
  ) {}

  /**
   * Reserves one load.
   *
   * @returns milliseconds until the load may begin
   */
  reserveLoad(): number {
    const nowMs = this.clock.nowMs();
    this.discardOldLoads(nowMs);
    const earlier = this.startedAtMs.at(-this.loadsPerMinuteLimit);
    const beginMs = earlier === undefined ? nowMs : Math.max(nowMs, earlier + MS_PER_MINUTE);
    this.startedAtMs.push(beginMs);
    this.loadsCount += 1;
    return beginMs - nowMs;
  }

  /** Returns the limit and the number of loads that could begin now. */
  status(): platform.WeightStoreStatus {
    this.discardOldLoads(this.clock.nowMs());
    const { loadsPerMinuteLimit } = this;
    const loadsAvailableCount = Math.max(0, loadsPerMinuteLimit - this.startedAtMs.length);
    return { loadsPerMinuteLimit, loadsAvailableCount };
  }

  private discardOldLoads(nowMs: number): void {
    this.startedAtMs = this.startedAtMs.filter((atMs) => atMs > nowMs - MS_PER_MINUTE);
  }
}

import type * as clocks from "../../../_lib/clock/index.js";
import * as telemetry from "../../../telemetry/index.js";

/**
 * Records first-token time, inter-token time, stall time and completion time of one caller's answer.
 * Time that the caller spends before it requests the next frame does not count.
 */
export class CallerMeasures {
  private lastTokenAtMs: number;
  private longestWaitMs = 0;
  private hasToken = false;

  constructor(
    private readonly clock: clocks.Clock,
    private readonly metrics: telemetry.Metrics,
    private readonly entryName: string,
    private readonly startedAtMs: number,
  ) {
    this.lastTokenAtMs = startedAtMs;
  }

  /** Called when the caller requests the next frame. */
  onFrameRequested(): void {
    if (this.hasToken) this.lastTokenAtMs = Math.max(this.lastTokenAtMs, this.clock.nowMs());
  }

  /** Called when a frame with tokens arrives for the caller. */
  onTokens(): void {
    const nowMs = this.clock.nowMs();
    const waitedMs = nowMs - this.lastTokenAtMs;
    const measure = this.hasToken ? telemetry.Measure.InterTokenMs : telemetry.Measure.FirstTokenMs;
    this.metrics.observe(measure, this.entryName, waitedMs);
    this.longestWaitMs = Math.max(this.longestWaitMs, waitedMs);
    this.hasToken = true;
    this.lastTokenAtMs = nowMs;
  }

  /** Called when the answer ends, completely or with an error. */
  onEnded(isComplete: boolean): void {
    const nowMs = this.clock.nowMs();
    const stallMs = Math.max(this.longestWaitMs, nowMs - this.lastTokenAtMs);
    this.metrics.observe(telemetry.Measure.StallMs, this.entryName, stallMs);
    if (isComplete) {
      const { CompletionMs } = telemetry.Measure;
      this.metrics.observe(CompletionMs, this.entryName, nowMs - this.startedAtMs);
    }
    this.metrics.recordCompletion(this.entryName, isComplete);
  }
}

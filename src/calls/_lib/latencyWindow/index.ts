import * as hdr from "hdr-histogram-js";

import type * as clocks from "../../../_lib/clock/index.js";
import * as constants from "../../constants.js";

/** Recent latencies of one service, in the current time window and the previous one. */
export class LatencyWindow {
  private current = createHistogram();
  private previous = createHistogram();
  private startedAtMs: number;

  constructor(private readonly clock: clocks.Clock) {
    this.startedAtMs = clock.nowMs();
  }

  /** Records the latency of an answered attempt. */
  record(latencyMs: number): void {
    this.rotate();
    const boundedMs = Math.min(constants.MAX_LATENCY_MS, Math.max(1, Math.ceil(latencyMs)));
    this.current.recordValue(boundedMs);
  }

  /**
   * Returns the latency percentile after which a call is hedged, from the window with more samples;
   * null if it has too few.
   */
  computeHedgeDelayMs(): number | null {
    this.rotate();
    const larger =
      this.current.totalCount > this.previous.totalCount ? this.current : this.previous;
    if (larger.totalCount < constants.MIN_LATENCY_SAMPLES) return null;
    return larger.getValueAtPercentile(constants.HEDGE_PERCENTILE);
  }

  private rotate(): void {
    const elapsedMs = this.clock.nowMs() - this.startedAtMs;
    if (elapsedMs < constants.LATENCY_WINDOW_MS) return;
    const isCurrentRecent = elapsedMs < 2 * constants.LATENCY_WINDOW_MS;
    this.previous = isCurrentRecent ? this.current : createHistogram();
    this.current = createHistogram();
    this.startedAtMs = this.clock.nowMs();
  }
}

function createHistogram(): hdr.Histogram {
  return hdr.build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: constants.MAX_LATENCY_MS,
    numberOfSignificantValueDigits: 2,
    bitBucketSize: 32,
    useWebAssembly: false,
  });
}

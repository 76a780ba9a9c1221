import * as hdr from "hdr-histogram-js";

import type * as clocks from "../../../_lib/clock/index.js";
import * as constants from "../../constants.js";

/** Recent latencies of one service: the running window and the one before it. */
export class LatencyWindow {
  private running = createHistogram();
  private previous = createHistogram();
  private startedAtMs: number;

  constructor(private readonly clock: clocks.Clock) {
    this.startedAtMs = clock.nowMs();
  }

  record(latencyMs: number): void {
    this.rotate();
    const boundedMs = Math.min(constants.MAX_LATENCY_MS, Math.max(1, Math.ceil(latencyMs)));
    this.running.recordValue(boundedMs);
  }

  /** The percentile after which a call is hedged; null while too few latencies are known. */
  hedgeAfterMs(): number | null {
    this.rotate();
    const learned =
      this.running.totalCount > this.previous.totalCount ? this.running : this.previous;
    if (learned.totalCount < constants.MIN_LATENCY_SAMPLES) return null;
    return learned.getValueAtPercentile(constants.HEDGE_PERCENTILE);
  }

  private rotate(): void {
    const elapsedMs = this.clock.nowMs() - this.startedAtMs;
    if (elapsedMs < constants.LATENCY_WINDOW_MS) return;
    const isFresh = elapsedMs < 2 * constants.LATENCY_WINDOW_MS;
    this.previous = isFresh ? this.running : createHistogram();
    this.running = createHistogram();
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

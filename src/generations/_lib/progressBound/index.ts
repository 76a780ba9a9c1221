import * as constants from "../../constants.js";

/** How long a stream may be silent, learned from its own intervals and its engine's step time. */
export class ProgressBound {
  private intervalMs: number | null = null;

  constructor(private readonly promptTokens: number) {}

  /** Notes the time between two frames. */
  note(elapsedMs: number): void {
    if (this.intervalMs === null) {
      this.intervalMs = 0;
      return;
    }
    this.intervalMs += constants.INTERVAL_SMOOTHING * (elapsedMs - this.intervalMs);
  }

  /** The silence after which the stream is resumed on a new connection. */
  boundMs(stepTimeMs: number): number {
    if (this.intervalMs === null) return this.firstTokenBoundMs();
    const intervalMs = Math.max(this.intervalMs, stepTimeMs);
    const boundMs = intervalMs * constants.PROGRESS_BOUND_INTERVALS;
    return Math.min(
      Math.max(boundMs, constants.MIN_PROGRESS_BOUND_MS),
      constants.MAX_PROGRESS_BOUND_MS,
    );
  }

  private firstTokenBoundMs(): number {
    return (
      constants.FIRST_TOKEN_BOUND_MS +
      this.promptTokens * constants.FIRST_TOKEN_BOUND_PER_PROMPT_TOKEN_MS
    );
  }
}

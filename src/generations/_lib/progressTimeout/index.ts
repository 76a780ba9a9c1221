import * as constants from "../../constants.js";

/** Silence timeout of a stream, derived from its frame intervals and its engine's step time. */
export class ProgressTimeout {
  private intervalMs: number | null = null;

  constructor(private readonly promptTokens: number) {}

  /** Records the time between two frames; the first one, before the first token, is ignored. */
  recordInterval(elapsedMs: number): void {
    if (this.intervalMs === null) {
      this.intervalMs = 0;
      return;
    }
    this.intervalMs += constants.INTERVAL_SMOOTHING_FACTOR * (elapsedMs - this.intervalMs);
  }

  /** Computes the silence, in ms, after which the stream counts as broken. */
  computeTimeoutMs(stepTimeMs: number): number {
    if (this.intervalMs === null) return this.computeFirstTokenTimeoutMs();
    const intervalMs = Math.max(this.intervalMs, stepTimeMs);
    const timeoutMs = intervalMs * constants.PROGRESS_TIMEOUT_INTERVALS_COUNT;
    return Math.min(
      Math.max(timeoutMs, constants.MIN_PROGRESS_TIMEOUT_MS),
      constants.MAX_PROGRESS_TIMEOUT_MS,
    );
  }

  private computeFirstTokenTimeoutMs(): number {
    return (
      constants.FIRST_TOKEN_TIMEOUT_MS +
      this.promptTokens * constants.FIRST_TOKEN_TIMEOUT_PER_PROMPT_TOKEN_MS
    );
  }
}

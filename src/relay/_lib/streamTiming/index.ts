/** Timing of a caller's stream: its first event, its longest gap, and its number of continuations. */
export class StreamTiming {
  /** Time of the first event, on the monotonic clock; null before it. */
  firstEventAtMs: number | null = null;
  /** Longest time between two consecutive events. */
  maxGapMs = 0;
  /** Number of times that the stream was continued on another engine. */
  continuationsCount = 0;
  private lastEventAtMs = 0;

  /** Records the start of the stream, before its first event. */
  start(nowMs: number): void {
    this.lastEventAtMs = nowMs;
  }

  /** Returns the milliseconds since the last event, or since the start of the stream. */
  gapMs(nowMs: number): number {
    return nowMs - this.lastEventAtMs;
  }

  /**
   * Records an event that was forwarded to the caller.
   *
   * @returns the milliseconds since the previous event; null for the first one
   */
  recordEvent(nowMs: number): number | null {
    const gapMs = this.firstEventAtMs === null ? null : this.gapMs(nowMs);
    this.firstEventAtMs ??= nowMs;
    this.maxGapMs = Math.max(this.maxGapMs, gapMs ?? 0);
    this.lastEventAtMs = nowMs;
    return gapMs;
  }
}

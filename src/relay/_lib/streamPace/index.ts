/** How a caller's stream went: its first event, its longest pause, and how often it was carried on. */
export class StreamPace {
  /** Null before the first event. */
  firstEventAtMs: number | null = null;
  maxGapMs = 0;
  carriedCount = 0;
  private lastEventAtMs = 0;

  /** The stream begins; its first event is still to come. */
  begin(nowMs: number): void {
    this.lastEventAtMs = nowMs;
  }

  /** Time since the last event, or since the stream began. */
  gapMs(nowMs: number): number {
    return nowMs - this.lastEventAtMs;
  }

  /**
   * An event is passed on.
   *
   * @returns the pause before it; null for the first one
   */
  noteEvent(nowMs: number): number | null {
    const gapMs = this.firstEventAtMs === null ? null : this.gapMs(nowMs);
    this.firstEventAtMs ??= nowMs;
    this.maxGapMs = Math.max(this.maxGapMs, gapMs ?? 0);
    this.lastEventAtMs = nowMs;
    return gapMs;
  }
}

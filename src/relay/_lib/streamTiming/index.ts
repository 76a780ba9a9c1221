/** Some consecutive events of a stream. */
export interface EventWindow {
  /** Events after the first one of the window. */
  readonly eventsCount: number;
  readonly elapsedMs: number;
  readonly maxGapMs: number;
}

/** Timing of a caller's stream: its first event, its longest gap, and its number of continuations. */
export class StreamTiming {
  /** Time of the first event, on the monotonic clock; null before it. */
  firstEventAtMs: number | null = null;
  /** Longest time between two consecutive events. */
  maxGapMs = 0;
  /** Number of times that the stream was continued on another engine. */
  continuationsCount = 0;
  private lastEventAtMs = 0;
  private windowStartedAtMs: number | null = null;
  private windowEventsCount = 0;
  private windowMaxGapMs = 0;

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
    this.addToWindow(gapMs ?? 0);
    return gapMs;
  }

  /** Begins a new window with the next event, such as when another engine continues the stream. */
  restartWindow(): void {
    this.windowStartedAtMs = null;
  }

  /** Returns the events since the last call if they are enough, and begins a new window with the last. */
  takeWindow(minEventsCount: number): EventWindow | null {
    const { windowStartedAtMs, windowEventsCount: eventsCount } = this;
    if (windowStartedAtMs === null || eventsCount < minEventsCount) return null;
    const elapsedMs = this.lastEventAtMs - windowStartedAtMs;
    const window = { eventsCount, elapsedMs, maxGapMs: this.windowMaxGapMs };
    this.beginWindow();
    return window;
  }

  private addToWindow(gapMs: number): void {
    if (this.windowStartedAtMs === null) {
      this.beginWindow();
      return;
    }
    this.windowEventsCount += 1;
    this.windowMaxGapMs = Math.max(this.windowMaxGapMs, gapMs);
  }

  private beginWindow(): void {
    this.windowStartedAtMs = this.lastEventAtMs;
    this.windowEventsCount = 0;
    this.windowMaxGapMs = 0;
  }
}

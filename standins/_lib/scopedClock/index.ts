import type * as clocks from "../../../src/_lib/clock/index.js";

/** A clock that cancels its pending timers, but not its sleeps, when it is disposed. */
export class ScopedClock implements clocks.Clock, Disposable {
  private readonly timers = new Set<Disposable>();

  constructor(private readonly clock: clocks.Clock) {}

  nowMs(): number {
    return this.clock.nowMs();
  }

  wallTimeMs(): number {
    return this.clock.wallTimeMs();
  }

  sleep(durationMs: number, signal?: AbortSignal): Promise<void> {
    return this.clock.sleep(durationMs, signal);
  }

  schedule(delayMs: number, callback: () => void): Disposable {
    const timer = this.clock.schedule(delayMs, () => {
      this.timers.delete(timer);
      callback();
    });
    this.timers.add(timer);
    return {
      [Symbol.dispose]: () => {
        this.timers.delete(timer);
        timer[Symbol.dispose]();
      },
    };
  }

  [Symbol.dispose](): void {
    for (const timer of this.timers) timer[Symbol.dispose]();
    this.timers.clear();
  }
}

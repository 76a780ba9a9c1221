import * as timers from "node:timers/promises";

/** Source of time; injected, so that decisions run on a virtual clock in tests and experiments. */
export interface Clock {
  /** Monotonic time in milliseconds from an arbitrary origin. */
  nowMs(): number;
  /** Wall time in milliseconds since the Unix epoch; only for display and for stated deadlines. */
  wallTimeMs(): number;
  /** Resolves after the duration; rejects with the signal's reason when aborted first. */
  sleep(durationMs: number, signal?: AbortSignal): Promise<void>;
  /** Calls back once after the delay, unless disposed first. */
  schedule(delayMs: number, callback: () => void): Disposable;
}

/** The machine's own clock. */
export class SystemClock implements Clock {
  nowMs(): number {
    return performance.now();
  }

  wallTimeMs(): number {
    return Date.now();
  }

  async sleep(durationMs: number, signal?: AbortSignal): Promise<void> {
    await timers.setTimeout(durationMs, undefined, signal === undefined ? {} : { signal });
  }

  schedule(delayMs: number, callback: () => void): Disposable {
    const timer = setTimeout(callback, delayMs);
    return {
      [Symbol.dispose]() {
        clearTimeout(timer);
      },
    };
  }
}

import * as timers from "node:timers/promises";

/** Longest delay of a timer; Node runs one of a longer delay at once. */
export const MAX_DELAY_MS = 2 ** 31 - 1;

/** Source of time; injected, so that tests and experiments can use a virtual clock. */
export interface Clock {
  /** Returns the monotonic time in milliseconds since an arbitrary origin. */
  nowMs(): number;
  /**
   * Returns the wall time in milliseconds since the Unix epoch. It may jump, so it is only for
   * timestamps and deadlines.
   */
  wallTimeMs(): number;
  /** Resolves after the duration; rejects if the signal is aborted first. */
  sleep(durationMs: number, signal?: AbortSignal): Promise<void>;
  /** Calls the callback once after the delay, unless the returned timer is disposed of first. */
  schedule(delayMs: number, callback: () => void): Disposable;
}

/** The clock of the operating system. */
export class SystemClock implements Clock {
  nowMs(): number {
    return performance.now();
  }

  wallTimeMs(): number {
    return Date.now();
  }

  async sleep(durationMs: number, signal?: AbortSignal): Promise<void> {
    await timers.setTimeout(
      limitDelayMs(durationMs),
      undefined,
      signal === undefined ? {} : { signal },
    );
  }

  schedule(delayMs: number, callback: () => void): Disposable {
    const timer = setTimeout(callback, limitDelayMs(delayMs));
    return {
      [Symbol.dispose]() {
        clearTimeout(timer);
      },
    };
  }
}

/** Returns a delay that a timer of Node can have; a longer one ends early, after more than three weeks. */
export function limitDelayMs(delayMs: number): number {
  return Math.min(delayMs, MAX_DELAY_MS);
}

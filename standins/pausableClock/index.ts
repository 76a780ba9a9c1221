import type * as clocks from "../../src/_lib/clock/index.js";

/** A process's clock: during a pause time advances, but due timers fire only on resume. */
export class PausableClock implements clocks.Clock {
  private isPaused = false;
  private pendingCallbacks: (() => void)[] = [];

  constructor(private readonly clock: clocks.Clock) {}

  nowMs(): number {
    return this.clock.nowMs();
  }

  wallTimeMs(): number {
    return this.clock.wallTimeMs();
  }

  schedule(delayMs: number, callback: () => void): Disposable {
    let isCancelled = false;
    const run = (): void => {
      if (!isCancelled) callback();
    };
    const timer = this.clock.schedule(delayMs, () => {
      if (this.isPaused) this.pendingCallbacks.push(run);
      else run();
    });
    return {
      [Symbol.dispose]: () => {
        isCancelled = true;
        timer[Symbol.dispose]();
      },
    };
  }

  sleep(durationMs: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve, reject) => {
      const onAbort = (): void => {
        timer[Symbol.dispose]();
        reject(new Error("aborted"));
      };
      const timer = this.schedule(durationMs, () => {
        signal?.removeEventListener("abort", onAbort);
        resolve();
      });
      if (signal?.aborted === true) onAbort();
      else signal?.addEventListener("abort", onAbort, { once: true });
    });
  }

  /** Starts a pause; timers that come due during it are held back. */
  pause(): void {
    this.isPaused = true;
  }

  /** Ends the pause and fires the timers that came due during it. */
  resume(): void {
    this.isPaused = false;
    const callbacks = this.pendingCallbacks;
    this.pendingCallbacks = [];
    for (const run of callbacks) run();
  }
}

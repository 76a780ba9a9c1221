import type * as clocks from "../../src/_lib/clock/index.js";

/** A process's view of a clock: while it is paused time goes on, and its timers fire on resume. */
export class PausableClock implements clocks.Clock {
  private isPaused = false;
  private held: (() => void)[] = [];

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
      if (this.isPaused) this.held.push(run);
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

  pause(): void {
    this.isPaused = true;
  }

  resume(): void {
    this.isPaused = false;
    const held = this.held;
    this.held = [];
    for (const run of held) run();
  }
}

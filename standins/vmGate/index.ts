import type * as clocks from "../../src/_lib/clock/index.js";

/** Holds a VM's process still: whatever passes through it waits until the VM goes on. */
export class Gate {
  private waiting: (() => void)[] = [];
  private isPaused = false;

  pause(): void {
    this.isPaused = true;
  }

  resume(): void {
    this.isPaused = false;
    const waiting = this.waiting;
    this.waiting = [];
    for (const goOn of waiting) goOn();
  }

  /** Calls at once, or when the VM goes on. */
  enter(callback: () => void): void {
    if (this.isPaused) this.waiting.push(callback);
    else callback();
  }

  pass(): Promise<void> {
    return new Promise((resolve) => this.enter(resolve));
  }
}

/** A VM's clock: time goes on while the VM is paused, but its timers fire only afterwards. */
export class GatedClock implements clocks.Clock {
  constructor(
    private readonly clock: clocks.Clock,
    private readonly gate: Gate,
  ) {}

  nowMs(): number {
    return this.clock.nowMs();
  }

  wallTimeMs(): number {
    return this.clock.wallTimeMs();
  }

  schedule(delayMs: number, callback: () => void): Disposable {
    const state = { isDisposed: false };
    const timer = this.clock.schedule(delayMs, () => {
      this.gate.enter(() => {
        if (!state.isDisposed) callback();
      });
    });
    return {
      [Symbol.dispose]: () => {
        state.isDisposed = true;
        timer[Symbol.dispose]();
      },
    };
  }

  async sleep(durationMs: number, signal?: AbortSignal): Promise<void> {
    await this.clock.sleep(durationMs, signal);
    await this.gate.pass();
  }
}

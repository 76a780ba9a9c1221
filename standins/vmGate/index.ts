import type * as clocks from "../../src/_lib/clock/index.js";

/** Simulates a process pause of a VM: callbacks that run through the gate wait until the VM resumes. */
export class Gate {
  private pendingCallbacks: (() => void)[] = [];
  private isPaused = false;

  /** Starts a pause. */
  pause(): void {
    this.isPaused = true;
  }

  /** Ends the pause and runs the pending callbacks. */
  resume(): void {
    this.isPaused = false;
    const callbacks = this.pendingCallbacks;
    this.pendingCallbacks = [];
    for (const callback of callbacks) callback();
  }

  /** Calls back at once, or when a paused VM resumes. */
  runWhenResumed(callback: () => void): void {
    if (this.isPaused) this.pendingCallbacks.push(callback);
    else callback();
  }

  /** Resolves at once, or when a paused VM resumes. */
  waitUntilResumed(): Promise<void> {
    return new Promise((resolve) => this.runWhenResumed(resolve));
  }
}

/** A VM's clock: time advances while the VM is paused, but its timers fire only on resume. */
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
      this.gate.runWhenResumed(() => {
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
    await this.gate.waitUntilResumed();
  }
}

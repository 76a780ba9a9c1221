import type * as clocks from "../../../src/_lib/clock/index.js";
import type * as vmGates from "../vmGate/index.js";

/** A VM's clock. Time advances while the VM is paused, but timers fire only once it has resumed. */
export class PausableClock implements clocks.Clock {
  constructor(
    private readonly clock: clocks.Clock,
    private readonly gate: vmGates.VmGate,
  ) {}

  nowMs(): number {
    return this.clock.nowMs();
  }

  wallTimeMs(): number {
    return this.clock.wallTimeMs();
  }

  async sleep(durationMs: number, signal?: AbortSignal): Promise<void> {
    await this.clock.sleep(durationMs, signal);
    await this.gate.waitUntilResumed();
    signal?.throwIfAborted();
  }

  schedule(delayMs: number, callback: () => void): Disposable {
    let isCancelled = false;
    const fire = async (): Promise<void> => {
      await this.gate.waitUntilResumed();
      if (!isCancelled) callback();
    };
    const timer = this.clock.schedule(delayMs, () => {
      if (this.gate.isPaused) void fire();
      else callback();
    });
    return {
      [Symbol.dispose]() {
        isCancelled = true;
        timer[Symbol.dispose]();
      },
    };
  }
}

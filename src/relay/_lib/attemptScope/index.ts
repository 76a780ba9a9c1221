import type * as clocks from "../../../_lib/clock/index.js";

/** What ends the attempts of a call besides its deadline. */
export interface ScopeSignals {
  /** Aborted when the caller disconnects. */
  readonly callerDisconnected: AbortSignal;
  /** Aborted when this VM is about to close its callers' connections. */
  readonly vmClosing?: AbortSignal;
}

/**
 * The lifetime of one call's attempts. It ends when the caller disconnects, at the deadline, shortly before
 * this VM closes the caller's connection, or when the scope is disposed.
 */
export class AttemptScope implements Disposable {
  private readonly controller = new AbortController();
  private readonly timer: Disposable;
  private timedOut = false;

  constructor(
    clock: clocks.Clock,
    deadlineAtMs: number,
    private readonly signals: ScopeSignals,
  ) {
    const remainingMs = Math.max(0, deadlineAtMs - clock.nowMs());
    const { callerDisconnected, vmClosing } = signals;
    this.timer = clock.schedule(remainingMs, this.timeOut);
    if (callerDisconnected.aborted) this.controller.abort();
    callerDisconnected.addEventListener("abort", this.end, { once: true });
    if (vmClosing?.aborted === true) this.timeOut();
    vmClosing?.addEventListener("abort", this.timeOut, { once: true });
  }

  /** Aborted when the scope ends. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** Whether the deadline has passed, or this VM closes the caller's connection. */
  get isTimedOut(): boolean {
    return this.timedOut;
  }

  /** Aborts all attempts. */
  readonly end = (): void => {
    this.controller.abort();
  };

  [Symbol.dispose](): void {
    this.timer[Symbol.dispose]();
    this.signals.callerDisconnected.removeEventListener("abort", this.end);
    this.signals.vmClosing?.removeEventListener("abort", this.timeOut);
    this.controller.abort();
  }

  private readonly timeOut = (): void => {
    if (!this.controller.signal.aborted) this.timedOut = true;
    this.controller.abort();
  };
}

import type * as clocks from "../../../_lib/clock/index.js";

/**
 * The lifetime of one call's attempts. It ends when the caller disconnects, at the deadline, or when
 * the scope is disposed.
 */
export class AttemptScope implements Disposable {
  private readonly controller = new AbortController();
  private readonly timer: Disposable;
  private timedOut = false;

  constructor(
    clock: clocks.Clock,
    deadlineAtMs: number,
    private readonly parent: AbortSignal,
  ) {
    const remainingMs = Math.max(0, deadlineAtMs - clock.nowMs());
    this.timer = clock.schedule(remainingMs, () => {
      this.timedOut = true;
      this.controller.abort();
    });
    if (parent.aborted) this.controller.abort();
    parent.addEventListener("abort", this.end, { once: true });
  }

  /** Aborted when the scope ends. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** Whether the deadline has passed. */
  get isTimedOut(): boolean {
    return this.timedOut;
  }

  /** Aborts all attempts. */
  readonly end = (): void => {
    this.controller.abort();
  };

  [Symbol.dispose](): void {
    this.timer[Symbol.dispose]();
    this.parent.removeEventListener("abort", this.end);
    this.controller.abort();
  }
}

import type * as clocks from "../clock/index.js";

/** A signal that is also aborted after a time, until it is disposed of. */
export interface LimitedSignal extends Disposable {
  readonly signal: AbortSignal;
}

/**
 * Returns a signal that is aborted when another is, or after a time. On Node 20 a signal of `AbortSignal.timeout` that
 * only `AbortSignal.any` refers to is collected as garbage together with its timer.
 */
export function limitSignal(
  clock: clocks.Clock,
  signal: AbortSignal,
  timeoutMs: number,
): LimitedSignal {
  const controller = new AbortController();
  const abort = (): void => controller.abort();
  const timer = clock.schedule(timeoutMs, abort);
  if (signal.aborted) abort();
  else signal.addEventListener("abort", abort, { once: true });
  return {
    signal: controller.signal,
    [Symbol.dispose]() {
      timer[Symbol.dispose]();
      signal.removeEventListener("abort", abort);
    },
  };
}

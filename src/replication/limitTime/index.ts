import * as neverthrow from "neverthrow";

import type * as clocks from "../../_lib/clock/index.js";
import * as stepError from "../../_lib/stepError/index.js";

/** Where the limited work goes, for the error. */
export interface LimitedStep {
  readonly step: string;
  readonly peer: string;
}

/** Gives up on work that stays silent, or when aborted; the work's own late result is dropped. */
export async function limitTime<T>(
  clock: clocks.Clock,
  limitMs: number,
  work: Promise<neverthrow.Result<T, stepError.StepError>>,
  place: LimitedStep,
  signal?: AbortSignal,
): Promise<neverthrow.Result<T, stepError.StepError>> {
  const { promise, resolve } = createDeferred<neverthrow.Result<T, stepError.StepError>>();
  const timer = clock.schedule(limitMs, () => {
    resolve(neverthrow.err(failure(`no answer for ${limitMs} ms`, place)));
  });
  const onAbort = (): void => resolve(neverthrow.err(failure("stopped", place)));
  signal?.addEventListener("abort", onAbort, { once: true });
  work.then(resolve, (error: unknown) => {
    const message = error instanceof Error ? error.message : "failed";
    resolve(neverthrow.err(failure(message, place, error)));
  });
  const result = await promise;
  timer[Symbol.dispose]();
  signal?.removeEventListener("abort", onAbort);
  return result;
}

/** Waits for a promise, but no longer than the limit. */
export async function waitAtMost(
  clock: clocks.Clock,
  limitMs: number,
  promise: Promise<unknown>,
): Promise<void> {
  const { promise: waited, resolve } = createDeferred<undefined>();
  const timer = clock.schedule(limitMs, () => resolve(undefined));
  const settle = (): void => resolve(undefined);
  promise.then(settle, settle);
  await waited;
  timer[Symbol.dispose]();
}

/** A promise with its resolver. */
export function createDeferred<T>(): {
  readonly promise: Promise<T>;
  readonly resolve: (value: T) => void;
} {
  let resolve: (value: T) => void = () => undefined;
  const promise = new Promise<T>((resolvePromise) => {
    resolve = resolvePromise;
  });
  return { promise, resolve };
}

function failure(message: string, place: LimitedStep, cause?: unknown): stepError.StepError {
  return new stepError.StepError(message, {
    code: stepError.ErrorCode.PlatformUnavailable,
    step: place.step,
    peer: place.peer,
    execution: stepError.ExecutionState.Unknown,
    cause,
  });
}

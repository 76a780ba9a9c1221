import * as neverthrow from "neverthrow";

import type * as clocks from "../../_lib/clock/index.js";
import * as stepError from "../../_lib/stepError/index.js";

/** Step and peer of the limited work, for its error. */
export interface LimitedStep {
  readonly step: string;
  readonly peer: string;
}

/**
 * Limits the time of asynchronous work. The work itself is not cancelled; its result is dropped
 * after the limit or an abort.
 *
 * @param limitMs - timeout
 * @param limitedStep - step and peer that the error names
 * @param signal - ends the wait early
 * @returns the work's result, or a StepError with execution `unknown` at the limit, an abort or a
 * rejection
 */
export async function limitTime<T>(
  clock: clocks.Clock,
  limitMs: number,
  work: Promise<neverthrow.Result<T, stepError.StepError>>,
  limitedStep: LimitedStep,
  signal?: AbortSignal,
): Promise<neverthrow.Result<T, stepError.StepError>> {
  const { promise, resolve } = createDeferred<neverthrow.Result<T, stepError.StepError>>();
  const timer = clock.schedule(limitMs, () => {
    resolve(
      neverthrow.err(
        createFailure(
          `${limitedStep.step} received no answer from ${limitedStep.peer} within ${limitMs} ms`,
          limitedStep,
        ),
      ),
    );
  });
  const onAbort = (): void =>
    resolve(neverthrow.err(createFailure(`${limitedStep.step} was aborted`, limitedStep)));
  signal?.addEventListener("abort", onAbort, { once: true });
  work.then(resolve, (error: unknown) => {
    const message = error instanceof Error ? error.message : `${limitedStep.step} failed`;
    resolve(neverthrow.err(createFailure(message, limitedStep, error)));
  });
  const result = await promise;
  timer[Symbol.dispose]();
  signal?.removeEventListener("abort", onAbort);
  return result;
}

/** Waits until a promise settles, but no longer than the limit; never rejects. */
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

/** Creates a promise together with its resolver. */
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

function createFailure(
  message: string,
  limitedStep: LimitedStep,
  cause?: unknown,
): stepError.StepError {
  return new stepError.StepError(message, {
    code: stepError.ErrorCode.PlatformUnavailable,
    step: limitedStep.step,
    peer: limitedStep.peer,
    execution: stepError.ExecutionState.Unknown,
    cause,
  });
}

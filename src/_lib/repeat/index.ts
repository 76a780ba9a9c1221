import type * as clocks from "../clock/index.js";

/** Calls a function in a fixed interval until the returned timer is disposed of. */
export function repeat(clock: clocks.Clock, intervalMs: number, callback: () => void): Disposable {
  let timer: Disposable;
  const scheduleNext = (): void => {
    timer = clock.schedule(intervalMs, () => {
      // An error in one round does not end all later ones.
      try {
        callback();
      } finally {
        scheduleNext();
      }
    });
  };
  scheduleNext();
  return { [Symbol.dispose]: () => timer[Symbol.dispose]() };
}

import type * as clocks from "../../../_lib/clock/index.js";
import * as constants from "../../constants.js";

/** Calls `onSilence` after each `STREAM_SILENCE_TIMEOUT_MS`, until it is disposed of. */
export function watchSilence(clock: clocks.Clock, onSilence: () => void): Disposable {
  let timer: Disposable;
  const watch = (): void => {
    timer = clock.schedule(constants.STREAM_SILENCE_TIMEOUT_MS, () => {
      watch();
      onSilence();
    });
  };
  watch();
  return { [Symbol.dispose]: () => timer[Symbol.dispose]() };
}

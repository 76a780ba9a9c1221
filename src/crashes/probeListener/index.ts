import type * as serverLinks from "../../serverLinks/index.js";
import * as types from "../types.js";

const REFUSED_CODE = "ECONNREFUSED";

/** Opens a connection to find out whether a process listens at an address; sends nothing. */
export function probeListener(
  dial: serverLinks.Dial,
  address: serverLinks.Address,
  timeoutMs: number,
): Promise<types.ListenerState> {
  return new Promise((resolve) => {
    const socket = dial(address);
    const finish = (state: types.ListenerState): void => {
      clearTimeout(timer);
      socket.destroy();
      resolve(state);
    };
    // A process that lagged runs the timer before it reads the answer, which may have arrived long ago.
    const timer = setTimeout(
      () => setImmediate(() => finish(types.ListenerState.Silent)),
      timeoutMs,
    );
    socket.once("connect", () => finish(types.ListenerState.Listens));
    socket.on("error", ({ code }: NodeJS.ErrnoException) =>
      finish(code === REFUSED_CODE ? types.ListenerState.Refuses : types.ListenerState.Silent),
    );
  });
}

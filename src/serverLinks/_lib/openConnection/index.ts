import * as net from "node:net";

import * as neverthrow from "neverthrow";

import type * as clocks from "../../../_lib/clock/index.js";
import type * as types from "../../types.js";

/** Bounds on opening a connection. */
export interface OpenOptions {
  readonly clock: clocks.Clock;
  readonly timeoutMs: number;
  readonly signal: AbortSignal;
}

/** Opens a connection; the error is its cause as a text. A connection that fails is closed. */
export function openConnection(
  dial: types.Dial,
  address: types.Address,
  { clock, timeoutMs, signal }: OpenOptions,
): Promise<neverthrow.Result<net.Socket, string>> {
  return new Promise((resolve) => {
    if (signal.aborted) {
      resolve(neverthrow.err("aborted before connecting"));
      return;
    }
    const socket = tryDial(dial, address);
    if (!(socket instanceof net.Socket)) {
      resolve(neverthrow.err(socket.cause));
      return;
    }
    const fail = (cause: string): void => {
      cleanUp();
      socket.destroy();
      resolve(neverthrow.err(cause));
    };
    const onAbort = (): void => fail("aborted while connecting");
    const onError = (error: Error): void => fail(error.message);
    const timer = clock.schedule(timeoutMs, () => fail(`no connection within ${timeoutMs} ms`));
    const cleanUp = (): void => {
      timer[Symbol.dispose]();
      signal.removeEventListener("abort", onAbort);
      socket.off("error", onError);
      // A socket may still emit errors after its failure was reported; they are ignored.
      socket.on("error", () => undefined);
    };
    signal.addEventListener("abort", onAbort, { once: true });
    socket.once("error", onError);
    socket.once("connect", () => {
      cleanUp();
      resolve(neverthrow.ok(socket));
    });
  });
}

/** Starts to connect; returns the cause if the address cannot be one of a server. */
function tryDial(
  dial: types.Dial,
  address: types.Address,
): net.Socket | { readonly cause: string } {
  try {
    return dial(address);
  } catch (error) {
    return { cause: error instanceof Error ? error.message : String(error) };
  }
}

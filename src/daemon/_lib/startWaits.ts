import type * as clocks from "../../_lib/clock/index.js";
import * as processes from "../../processes/index.js";

/** An address to listen on. */
export interface BoundAddress {
  readonly host: string;
  readonly port: number;
}

/** How the start of the daemon waits for addresses in use and missing certificate files. */
export interface StartWaits {
  /** Binds the address of a part. */
  readonly bind: <Value>(
    part: string,
    address: BoundAddress,
    attempt: () => Promise<Value>,
  ) => Promise<Value>;
  /** Reads files, such as certificates. */
  readonly read: <Value>(path: string, attempt: () => Promise<Value>) => Promise<Value>;
}

/** Fails at once. */
export const NO_WAITS: StartWaits = {
  bind: (_part, _address, attempt) => attempt(),
  read: (_path, attempt) => attempt(),
};

/** Creates waits that repeat each attempt until it succeeds or the signal is aborted. */
export function createWaits(
  guard: Pick<processes.ProcessGuard, "record">,
  clock: clocks.Clock,
  signal: AbortSignal,
): StartWaits {
  const log: processes.ListenOptions["log"] = {
    record: (_importance, event, fields) => guard.record(event, fields),
  };
  return {
    bind: (part, address, attempt) =>
      processes.bindWhenFree(attempt, address, { clock, log, signal, part }),
    read: (path, attempt) => processes.awaitFile(path, attempt, { guard, clock, signal }),
  };
}

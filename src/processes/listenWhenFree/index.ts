import type * as net from "node:net";

import type * as clocks from "../../_lib/clock/index.js";
import * as retries from "../../_lib/retryUntilDone/index.js";
import * as diagnosticTypes from "../../diagnostics/types.js";

const { Importance, LogEvent } = diagnosticTypes;

/** How a part of the VM waits for its address. */
export interface ListenOptions {
  readonly clock: clocks.Clock;
  readonly log: Pick<diagnosticTypes.DecisionLog, "record">;
  /** Ends the attempts when it is aborted. */
  readonly signal: AbortSignal;
  /** Name of the part in the log. */
  readonly part: string;
}

/**
 * Lets a server listen as soon as its address is free. It may still be in use by the process before, or not
 * exist yet.
 *
 * @throws if the signal is aborted before
 */
export async function listenWhenFree(
  server: net.Server,
  address: { readonly host: string; readonly port: number; readonly backlog?: number },
  options: ListenOptions,
): Promise<void> {
  const attempt = (): Promise<void> =>
    new Promise((resolve, reject) => {
      server.once("error", reject);
      server.listen(address, () => {
        server.off("error", reject);
        resolve();
      });
    });
  await bindWhenFree(attempt, address, options);
  // Such as too many open files, at the acceptance of a connection; the server goes on to listen.
  server.on("error", (error: NodeJS.ErrnoException) =>
    options.log.record(Importance.Notable, LogEvent.AcceptFailed, {
      part: options.part,
      cause: error.code ?? error.message,
    }),
  );
}

/** Repeats an attempt to bind an address until it succeeds, and logs the wait. */
export function bindWhenFree<Value>(
  attempt: () => Promise<Value>,
  { host, port }: { readonly host: string; readonly port: number },
  { clock, log, signal, part }: ListenOptions,
): Promise<Value> {
  return retries.retryUntilDone(attempt, {
    clock,
    signal,
    onFailing: (error, failingForMs) =>
      log.record(Importance.StateChange, LogEvent.AddressAwaited, {
        part,
        host,
        port,
        cause: (error as NodeJS.ErrnoException).code ?? String(error),
        failingForMs: Math.round(failingForMs),
      }),
    onRecovered: (failedForMs) =>
      log.record(Importance.StateChange, LogEvent.AddressBound, {
        part,
        host,
        port,
        failedForMs: Math.round(failedForMs),
      }),
  });
}

import type * as neverthrow from "neverthrow";

import type * as clocks from "../../_lib/clock/index.js";
import * as retries from "../../_lib/retryUntilDone/index.js";
import * as diagnosticTypes from "../../diagnostics/types.js";
import type * as processGuards from "../processGuard/index.js";

const { LogEvent } = diagnosticTypes;

/** The settings file of a program. */
export interface SettingsFile<Settings> {
  readonly path: string;
  /** Reads and decodes the file; an error names what is missing or invalid. */
  readonly load: () => Promise<neverthrow.Result<Settings, string>>;
}

/** How a program waits for a file. */
export interface FileWait {
  readonly guard: Pick<processGuards.ProcessGuard, "record">;
  readonly clock: clocks.Clock;
  /** Ends the wait when it is aborted. */
  readonly signal?: AbortSignal;
}

/** Waits until the settings file is complete and valid; whoever replaces it may be amid that. */
export function awaitSettings<Settings>(
  { path, load }: SettingsFile<Settings>,
  wait: FileWait,
): Promise<Settings> {
  const read = async (): Promise<Settings> =>
    (await load()).match(
      (settings) => settings,
      (cause) => {
        throw new Error(cause);
      },
    );
  return awaitFile(path, read, wait);
}

/** Repeats an attempt to read a file, such as a certificate, until it succeeds, and logs the wait. */
export function awaitFile<Value>(
  path: string,
  read: () => Promise<Value>,
  { guard, clock, signal }: FileWait,
): Promise<Value> {
  return retries.retryUntilDone(read, {
    clock,
    ...(signal === undefined ? {} : { signal }),
    onFailing: (error, failingForMs) =>
      guard.record(LogEvent.SettingsAwaited, {
        path,
        cause: error instanceof Error ? error.message : String(error),
        failingForMs: Math.round(failingForMs),
      }),
    onRecovered: (failedForMs) =>
      guard.record(LogEvent.SettingsFound, { failedForMs: Math.round(failedForMs) }),
  });
}

/** Validates the settings file and logs the result; a running process keeps the settings with which it started. */
export async function validateSettings(
  { load }: SettingsFile<unknown>,
  guard: Pick<processGuards.ProcessGuard, "record">,
): Promise<void> {
  const decoded = await load();
  guard.record(LogEvent.SettingsReloaded, {
    isValid: decoded.isOk(),
    cause: decoded.isErr() ? decoded.error : null,
  });
}

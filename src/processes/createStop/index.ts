import * as clocks from "../../_lib/clock/index.js";
import * as diagnosticTypes from "../../diagnostics/types.js";
import type * as processGuards from "../processGuard/index.js";

const { LogEvent } = diagnosticTypes;

/** Time before the end of the grace period at which a process ends even if its stop hangs. */
const STOP_MARGIN_MS = 50;

/** The planned stop of a program. */
export interface PlannedStop {
  /** Time from the order to the end of the process. */
  readonly graceMs: number;
  /** Stops the program. */
  readonly stop: () => Promise<void>;
  /** Returns the exit code, after the stop or at the end of the grace period. */
  readonly exitCode: () => number;
}

/** Creates what a guard does on each order to stop: the first one stops the program, which ends in its grace period. */
export function createStop(
  guard: Pick<processGuards.ProcessGuard, "record" | "recordError">,
  { graceMs, stop, exitCode }: PlannedStop,
): (signal: string) => void {
  let isStopping = false;
  return (signal) => {
    guard.record(LogEvent.SignalReceived, { signal });
    // A second order changes nothing: ending at once would cut off the calls in progress.
    if (isStopping) return;
    isStopping = true;
    const end = (): never => process.exit(exitCode());
    setTimeout(end, clocks.limitDelayMs(graceMs - STOP_MARGIN_MS));
    // If it fails, calls in progress still have the grace period.
    stop().then(end, (error: unknown) => guard.recordError(error));
  };
}

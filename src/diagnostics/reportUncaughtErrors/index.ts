import * as internalErrors from "../recordInternalError/index.js";

/** Events by which Node reports errors that no code has handled, and after which it ends the process. */
const UNCAUGHT_EVENTS = ["uncaughtException", "unhandledRejection"] as const;

/** What of a process the reports need. */
export interface ErrorEmitter {
  on(event: string, listener: (error: unknown) => void): unknown;
  off(event: string, listener: (error: unknown) => void): unknown;
}

/**
 * Reports errors of a process that no code has handled, and lets the process run on: its other requests
 * are sound, and its callers would lose their answers. Each report is a defect of the code that let the
 * error pass.
 */
export function reportUncaughtErrors(
  process: ErrorEmitter,
  context: internalErrors.ErrorReportContext,
): Disposable {
  const report = (error: unknown): void =>
    internalErrors.recordInternalError(context, internalErrors.ErrorOrigin.Unhandled, error);
  for (const event of UNCAUGHT_EVENTS) process.on(event, report);
  return {
    [Symbol.dispose]: () => {
      for (const event of UNCAUGHT_EVENTS) process.off(event, report);
    },
  };
}

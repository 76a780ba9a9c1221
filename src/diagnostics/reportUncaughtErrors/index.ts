import * as internalErrors from "../recordInternalError/index.js";

/** Events that Node emits for unhandled errors; without a listener it terminates the process. */
const UNCAUGHT_EVENTS = ["uncaughtException", "unhandledRejection"] as const;

/** The part of Node's `process` object that is used here. */
export interface ErrorEmitter {
  on(event: string, listener: (error: unknown) => void): unknown;
  off(event: string, listener: (error: unknown) => void): unknown;
}

/**
 * Logs and counts unhandled errors instead of letting them terminate the process, which would cut off all
 * other requests. Each report shows a defect: the error should have been handled where it occurred.
 *
 * @returns stops the reporting when it is disposed of
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

import type * as meters from "../meters/index.js";
import * as types from "../types.js";

/** Maximum length of the stack trace in a log line; a longer one is cut. */
const MAX_STACK_LENGTH = 2_000;

/** The work that an unexpected error ended; everything else in the process goes on. */
export enum ErrorOrigin {
  /** One request of a caller. */
  Request = "request",
  /** The transfer of one run to another engine. */
  Handover = "handover",
  /** One message of a peer. */
  Datagram = "datagram",
  /** One tunnel that a peer has asked for. */
  Tunnel = "tunnel",
  /** A round of a task that is repeated. */
  Task = "task",
  /** Unknown: the error was not handled anywhere. */
  Unhandled = "unhandled",
}

/** Where unexpected errors are reported. */
export interface ErrorReportContext {
  readonly log: types.DecisionLog;
  readonly meters: Pick<meters.Meters, "internalErrors">;
}

/** Logs an unexpected error with its stack, and counts it. */
export function recordInternalError(
  { log, meters }: ErrorReportContext,
  origin: ErrorOrigin,
  error: unknown,
  fields: types.LogFields = {},
): void {
  meters.internalErrors.inc({ origin });
  log.record(types.Importance.StateChange, types.LogEvent.InternalError, {
    origin,
    ...fields,
    error: describeError(error),
  });
}

/** Runs a step; an unexpected error ends the step alone, and is reported. */
export function contain(
  context: ErrorReportContext,
  origin: ErrorOrigin,
  fields: types.LogFields,
  step: () => void,
): void {
  try {
    step();
  } catch (error) {
    recordInternalError(context, origin, error, fields);
  }
}

/** Describes anything that can be thrown, also objects that have no text. */
function describeError(error: unknown): string {
  try {
    const text = error instanceof Error ? (error.stack ?? error.message) : error;
    return String(text).slice(0, MAX_STACK_LENGTH);
  } catch {
    return "an error without a text";
  }
}

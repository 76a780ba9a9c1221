/** Exit codes of the command line. */
export enum ExitCode {
  Ok = 0,
  /** The operation failed. */
  Failure = 1,
  /** The command line or its input is wrong. */
  Usage = 2,
  /** Another operator changed the item first. */
  Conflict = 3,
  /** The named thing does not exist. */
  NotFound = 4,
  /** The daemon cannot be reached (EX_UNAVAILABLE of sysexits). */
  Unavailable = 69,
  /** The key is not accepted (EX_NOPERM of sysexits). */
  Forbidden = 77,
  /** A settings file is wrong (EX_CONFIG of sysexits). */
  InvalidSettings = 78,
}

/** Admin port of a daemon on the same VM. */
export const DEFAULT_ADMIN_URL = "http://127.0.0.1:8090";

/** Longest wait for an answer of the admin port, in milliseconds. */
export const ADMIN_TIMEOUT_MS = 15_000;

/** Time between two looks at the fleet while waiting for a change, in milliseconds. */
export const WAIT_INTERVAL_MS = 200;

/** Time between two redraws of the live view, in milliseconds. */
export const TOP_INTERVAL_MS = 1_000;

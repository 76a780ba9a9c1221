/** Exit codes of the `chiveferry` command. */
export enum ExitCode {
  Ok = 0,
  /** The operation failed. */
  Failure = 1,
  /** The command line or its input is invalid. */
  Usage = 2,
  /** Another operator changed the item first. */
  Conflict = 3,
  /** The named item, request or server does not exist. */
  NotFound = 4,
  /** The daemon cannot be reached (EX_UNAVAILABLE of sysexits). */
  Unavailable = 69,
  /** The key is missing, or the daemon rejects it (EX_NOPERM of sysexits). */
  Forbidden = 77,
  /** A settings file is invalid (EX_CONFIG of sysexits). */
  InvalidSettings = 78,
}

/** Default URL of the admin port: a daemon on the same VM. */
export const DEFAULT_ADMIN_URL = "http://127.0.0.1:8090";

/** Timeout for an answer of the admin port. */
export const ADMIN_TIMEOUT_MS = 15_000;

/** Interval at which the fleet is polled while waiting for VMs to apply a change. */
export const ROLLOUT_POLL_INTERVAL_MS = 200;

/** Interval between redraws of `chiveferry top`. */
export const TOP_REDRAW_INTERVAL_MS = 1_000;

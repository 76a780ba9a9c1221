/** Whether the work of a request was executed; unknown if it cannot be determined. */
export enum ExecutionState {
  NotRun = "not-run",
  Ran = "ran",
  Unknown = "unknown",
}

/** Why a request was refused or failed; determines the HTTP status and the problem type. */
export enum ErrorCode {
  InvalidRequest = "invalid-request",
  Unauthenticated = "unauthenticated",
  Forbidden = "forbidden",
  NotFound = "not-found",
  Conflict = "conflict",
  TooLarge = "too-large",
  LimitExceeded = "limit-exceeded",
  Overloaded = "overloaded",
  DeadlineUnreachable = "deadline-unreachable",
  DeadlineExceeded = "deadline-exceeded",
  NoBackend = "no-backend",
  BackendFailed = "backend-failed",
  PeerUnreachable = "peer-unreachable",
  PlatformUnavailable = "platform-unavailable",
  ShuttingDown = "shutting-down",
  Interrupted = "interrupted",
  OutcomeUnknown = "outcome-unknown",
  Internal = "internal",
}

/** Details of a StepError in addition to its message. */
export interface StepErrorDetails {
  readonly code: ErrorCode;
  /** The step at which the error occurred, e.g. "engine.resume". */
  readonly step: string;
  /** The VM, backend server or service that the step communicated with, if any. */
  readonly peer?: string;
  readonly execution: ExecutionState;
  /** Estimated delay after which the caller may retry, in milliseconds. */
  readonly retryAfterMs?: number;
  /** Number of tokens already delivered to the caller, if a generation was interrupted. */
  readonly deliveredTokens?: number;
  readonly cause?: unknown;
}

/** An error with the step and peer at which it occurred, and whether the work was executed. */
export class StepError extends Error {
  readonly code: ErrorCode;
  readonly step: string;
  readonly peer: string | undefined;
  readonly execution: ExecutionState;
  readonly retryAfterMs: number | undefined;
  readonly deliveredTokens: number | undefined;

  constructor(message: string, details: StepErrorDetails) {
    super(message, { cause: details.cause });
    this.name = "StepError";
    this.code = details.code;
    this.step = details.step;
    this.peer = details.peer;
    this.execution = details.execution;
    this.retryAfterMs = details.retryAfterMs;
    this.deliveredTokens = details.deliveredTokens;
  }
}

/** Whether the work named by a request was executed, as far as anyone can tell. */
export enum ExecutionState {
  NotRun = "not-run",
  Ran = "ran",
  Unknown = "unknown",
}

/** Why a request was refused or failed; the HTTP status and problem type follow from it. */
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

/** Details of a StepError besides its message. */
export interface StepErrorDetails {
  readonly code: ErrorCode;
  /** The step at which the error arose, e.g. "engine.resume". */
  readonly step: string;
  /** The VM, back end or service at the other end, where there is one. */
  readonly peer?: string;
  readonly execution: ExecutionState;
  /** When the caller may try again; an estimate. */
  readonly retryAfterMs?: number;
  /** Tokens that the caller has already received, where a generation was interrupted. */
  readonly deliveredTokens?: number;
  readonly cause?: unknown;
}

/** An error that says at which step and towards which peer it arose, and whether the work was run. */
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

import * as stepError from "../../_lib/stepError/index.js";

/** Body of an error answer, in the format `application/problem+json`. */
export interface Problem {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly detail: string;
  /** Whether the work was executed: `not-run`, `ran` or `unknown`. */
  readonly execution: stepError.ExecutionState;
  readonly step: string;
  readonly peer?: string;
  readonly requestId?: string;
  readonly deliveredTokens?: number;
  readonly retryAfterMs?: number;
}

interface ProblemKind {
  readonly status: number;
  readonly title: string;
}

const PROBLEM_KINDS: Readonly<Record<stepError.ErrorCode, ProblemKind>> = {
  [stepError.ErrorCode.InvalidRequest]: { status: 400, title: "The request is invalid" },
  [stepError.ErrorCode.Unauthenticated]: { status: 401, title: "No valid key was given" },
  [stepError.ErrorCode.Forbidden]: { status: 403, title: "The key does not allow this" },
  [stepError.ErrorCode.NotFound]: { status: 404, title: "Not found" },
  [stepError.ErrorCode.Conflict]: { status: 409, title: "Conflict with the current state" },
  [stepError.ErrorCode.TooLarge]: { status: 413, title: "The request is too large" },
  [stepError.ErrorCode.LimitExceeded]: { status: 429, title: "The account's limit is reached" },
  [stepError.ErrorCode.Overloaded]: { status: 503, title: "No room for more work" },
  [stepError.ErrorCode.DeadlineUnreachable]: { status: 503, title: "The deadline cannot be met" },
  [stepError.ErrorCode.DeadlineExceeded]: { status: 504, title: "The deadline has passed" },
  [stepError.ErrorCode.NoBackend]: { status: 503, title: "No backend server can take this" },
  [stepError.ErrorCode.BackendFailed]: { status: 502, title: "The backend server failed" },
  [stepError.ErrorCode.PeerUnreachable]: { status: 503, title: "A VM could not be reached" },
  [stepError.ErrorCode.PlatformUnavailable]: { status: 503, title: "The platform does not answer" },
  [stepError.ErrorCode.ShuttingDown]: { status: 503, title: "This VM is shutting down" },
  [stepError.ErrorCode.Interrupted]: { status: 502, title: "The answer was interrupted" },
  [stepError.ErrorCode.OutcomeUnknown]: { status: 504, title: "The outcome is not known" },
  [stepError.ErrorCode.Internal]: { status: 500, title: "Internal error" },
};

/**
 * Creates the body of the answer to a failed request.
 *
 * @param error - the error, with its code and step
 * @param requestId - id of the request, if it has been assigned one
 */
export function createProblem(error: stepError.StepError, requestId?: string): Problem {
  const kind = PROBLEM_KINDS[error.code];
  return {
    type: `urn:chiveferry:problem:${error.code}`,
    title: kind.title,
    status: kind.status,
    detail: error.message,
    execution: error.execution,
    step: error.step,
    ...(error.peer === undefined ? {} : { peer: error.peer }),
    ...(requestId === undefined ? {} : { requestId }),
    ...(error.deliveredTokens === undefined ? {} : { deliveredTokens: error.deliveredTokens }),
    ...(error.retryAfterMs === undefined ? {} : { retryAfterMs: Math.ceil(error.retryAfterMs) }),
  };
}

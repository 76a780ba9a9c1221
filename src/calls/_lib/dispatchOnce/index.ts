import type * as clocks from "../../../_lib/clock/index.js";
import * as stepError from "../../../_lib/stepError/index.js";
import * as replication from "../../../replication/index.js";
import * as constants from "../../constants.js";
import type * as types from "../../types.js";
import * as callErrors from "../callErrors/index.js";
import type * as serverPool from "../serverPool/index.js";

/** How the dispatch of a once-only call ended. */
export enum DispatchKind {
  /** The service answered. */
  Answered = "answered",
  /** The request was not sent. */
  NotSent = "not-sent",
  /** The request was sent and may have been executed; no answer has arrived. */
  OutcomeUnknown = "open",
}

/** How a dispatch ended, with the result for the caller. */
export interface DispatchResult {
  readonly kind: DispatchKind;
  readonly result: callErrors.CallResult;
}

/** Dependencies of a dispatch. */
export interface DispatchDependencies {
  readonly clock: clocks.Clock;
  readonly pool: serverPool.ServerPool;
}

/**
 * Sends a once-only call. Another server is tried only if the client reports that the request to
 * the previous one was not sent.
 */
export async function dispatchOnce(
  dependencies: DispatchDependencies,
  request: types.CallRequest,
  key: string,
  deadlineAtMs: number,
): Promise<DispatchResult> {
  const triedNames = new Set<string>();
  let refusal = callErrors.refuseWithoutServer(request.entry.service);
  while (triedNames.size < constants.MAX_DISPATCH_SERVERS) {
    const remainingMs = deadlineAtMs - dependencies.clock.nowMs();
    if (remainingMs <= 0)
      return { kind: DispatchKind.NotSent, result: callErrors.refuseAfterDeadline() };
    const timeoutMs = computeTimeoutMs(request, remainingMs);
    const server = dependencies.pool.acquire(request.entry.service, triedNames);
    if (server === null) break;
    triedNames.add(server.backend.name);
    const result = await send(dependencies, server, request, key, timeoutMs);
    server.recordResult(result.isOk());
    if (result.isOk()) return { kind: DispatchKind.Answered, result };
    if (result.error.execution !== stepError.ExecutionState.NotRun)
      return createUnknownOutcome(result.error);
    refusal = result;
  }
  return { kind: DispatchKind.NotSent, result: refusal };
}

/**
 * Returns the dispatch timeout; reserves time for status lookups if the entry has a status path.
 */
function computeTimeoutMs(request: types.CallRequest, remainingMs: number): number {
  const hasLookup = request.entry.statusPath !== undefined;
  return hasLookup ? remainingMs * (1 - constants.STATUS_LOOKUP_TIME_RATIO) : remainingMs;
}

function send(
  dependencies: DispatchDependencies,
  server: serverPool.AcquiredServer,
  request: types.CallRequest,
  key: string,
  timeoutMs: number,
): Promise<callErrors.CallResult> {
  const work = server.client.call({
    method: request.entry.method,
    path: request.entry.path,
    headers: {
      "content-type": request.contentType,
      [constants.KEY_HEADER]: key,
      [constants.RETRIES_LEFT_HEADER]: constants.NO_RETRIES,
    },
    body: request.body,
    timeoutMs,
  });
  const limitedStep = { step: "call.once-only", peer: server.backend.name };
  return replication.limitTime(dependencies.clock, timeoutMs, work, limitedStep);
}

function createUnknownOutcome(error: stepError.StepError): DispatchResult {
  const message = `the call was sent, and its outcome is not known: ${error.message}`;
  return {
    kind: DispatchKind.OutcomeUnknown,
    result: callErrors.failWithUnknownOutcome(error.step, message, error),
  };
}

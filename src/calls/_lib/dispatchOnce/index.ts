import type * as clocks from "../../../_lib/clock/index.js";
import * as stepError from "../../../_lib/stepError/index.js";
import * as replication from "../../../replication/index.js";
import * as constants from "../../constants.js";
import type * as types from "../../types.js";
import * as callErrors from "../callErrors/index.js";
import type * as serverPool from "../serverPool/index.js";

/** How a dispatch ended. */
export enum DispatchKind {
  /** The service answered. */
  Answered = "answered",
  /** The request never left this process. */
  NotSent = "not-sent",
  /** The request left, and may have been executed. */
  Open = "open",
}

/** A dispatch's end with what the caller is told. */
export interface Dispatched {
  readonly kind: DispatchKind;
  readonly result: callErrors.CallResult;
}

/** What a dispatch works with. */
export interface DispatchDependencies {
  readonly clock: clocks.Clock;
  readonly pool: serverPool.ServerPool;
}

/**
 * Sends a call that must not run twice. Another server is tried only where the client says that
 * the request never left for the one before.
 */
export async function dispatchOnce(
  dependencies: DispatchDependencies,
  request: types.CallRequest,
  key: string,
  deadlineAtMs: number,
): Promise<Dispatched> {
  const triedNames = new Set<string>();
  let refusal = callErrors.refuseWithoutBackend(request.entry.service);
  while (triedNames.size < constants.MAX_UNSENT_OFFERS) {
    const remainingMs = deadlineAtMs - dependencies.clock.nowMs();
    if (remainingMs <= 0) return { kind: DispatchKind.NotSent, result: callErrors.refuseLate() };
    const timeoutMs = dispatchLimitMs(request, remainingMs);
    const server = dependencies.pool.take(request.entry.service, triedNames);
    if (server === null) break;
    triedNames.add(server.backend.name);
    const result = await send(dependencies, server, request, key, timeoutMs);
    server.report(result.isOk());
    if (result.isOk()) return { kind: DispatchKind.Answered, result };
    if (result.error.execution !== stepError.ExecutionState.NotRun) return open(result.error);
    refusal = result;
  }
  return { kind: DispatchKind.NotSent, result: refusal };
}

/** Leaves time for status lookups where the entry names one. */
function dispatchLimitMs(request: types.CallRequest, remainingMs: number): number {
  const hasLookup = request.entry.statusPath !== undefined;
  return hasLookup ? remainingMs * (1 - constants.STATUS_TIME_SHARE) : remainingMs;
}

function send(
  dependencies: DispatchDependencies,
  server: serverPool.TakenServer,
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
  const place = { step: "call.once-only", peer: server.backend.name };
  return replication.limitTime(dependencies.clock, timeoutMs, work, place);
}

function open(error: stepError.StepError): Dispatched {
  const message = `the call was sent, and its outcome is not known: ${error.message}`;
  return { kind: DispatchKind.Open, result: callErrors.leaveOpen(error.step, message, error) };
}

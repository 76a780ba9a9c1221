import * as dispatch from "../../../dispatch/index.js";
import * as constants from "../../constants.js";
import type * as types from "../../engineDispatcher/types.js";
import type * as localWaitings from "../localWaiting/index.js";
import type * as scanQueues from "../scanQueue/index.js";

/** What the wait of a generation depends on, besides the queue. */
export interface WaitContext {
  readonly nowMs: number;
  /** Recent rate at which ended runs released memory. */
  readonly releaseTokensPerMs: number;
  /** Whether all servers of the service are in evacuated data centres. */
  readonly isEvacuated: boolean;
  /** End of the shutdown, at which callers' connections are closed; monotonic clock, Infinity if not stopping. */
  readonly closesAtMs: number;
}

/**
 * Decides whether a generation goes on waiting at a VM that stops: it does if its run can end before the
 * connection to its caller is closed. Another VM has more time for it.
 *
 * @param engine - the engine whose capacity is allocated to it; undefined if there is none
 * @returns why it is refused; null if it stays
 */
export function refuseAtShutdown(
  waiting: localWaitings.LocalWaitingGeneration,
  engine: dispatch.EngineCandidate | undefined,
  queue: scanQueues.ScannedQueue,
  context: WaitContext,
): types.PlacementRefusal | null {
  if (context.closesAtMs === Infinity) return null;
  const { request } = waiting;
  const estimatedMs =
    engine === undefined
      ? estimateWaitMs(waiting, queue.ordered, usableOf(waiting, queue), context)
      : 0;
  const admission = dispatch.decideAdmission({
    expectedWaitMs: Number.isFinite(estimatedMs) ? estimatedMs : 0,
    expectedRunMs: request.expectedRunMs,
    timeLeftMs: context.closesAtMs - context.nowMs,
  });
  if (admission === dispatch.Admission.Wait) return null;
  const expectedWaitMs = constants.STOPPING_RETRY_AFTER_MS;
  return { kind: "stopping", expectedWaitMs, queuedCount: queue.ordered.length };
}

/**
 * Decides whether a generation without capacity goes on waiting.
 *
 * @returns why it is refused; null if it waits
 */
export function refuseUnsatisfiable(
  waiting: localWaitings.LocalWaitingGeneration,
  queue: scanQueues.ScannedQueue,
  context: WaitContext,
): types.PlacementRefusal | null {
  const { request } = waiting;
  if (context.isEvacuated) {
    const expectedWaitMs = constants.EVACUATED_RETRY_AFTER_MS;
    return { kind: "evacuated", expectedWaitMs, queuedCount: queue.ordered.length };
  }
  const usable = usableOf(waiting, queue);
  const expectedWaitMs = estimateWaitMs(waiting, queue.ordered, usable, context);
  const admission = dispatch.decideAdmission({
    expectedWaitMs: Number.isFinite(expectedWaitMs) ? expectedWaitMs : 0,
    expectedRunMs: request.expectedRunMs,
    timeLeftMs: request.deadlineAtMs - context.nowMs,
  });
  if (admission === dispatch.Admission.Wait) return null;
  const kind = usable.length === 0 ? "no-server" : "no-room";
  return { kind, expectedWaitMs, queuedCount: queue.ordered.length, ...shareOf(waiting, queue) };
}

/**
 * Decides whether a generation to which capacity is allocated is placed: not if it cannot end in time while
 * others wait for the same memory.
 *
 * @returns why it is refused; null if it is placed
 */
export function refuseTooLate(
  waiting: localWaitings.LocalWaitingGeneration,
  queue: scanQueues.ScannedQueue,
  { nowMs }: Pick<WaitContext, "nowMs">,
): types.PlacementRefusal | null {
  const { expectedRunMs, deadlineAtMs } = waiting.request;
  if (dispatch.canEndInTime({ expectedRunMs, timeLeftMs: deadlineAtMs - nowMs })) return null;
  if (!dispatch.isContended(queue.ordered, queue.candidates)) return null;
  const { ordered } = queue;
  // Its return starts the time of its caller anew, behind those that wait now.
  const expectedWaitMs = nowMs - waiting.enqueuedAtMs;
  return {
    kind: "no-room",
    expectedWaitMs,
    queuedCount: ordered.length,
    ...shareOf(waiting, queue),
  };
}

function usableOf(
  { request }: localWaitings.LocalWaitingGeneration,
  { candidates }: scanQueues.ScannedQueue,
): readonly dispatch.EngineCandidate[] {
  return candidates.filter(({ serverId }) => !request.avoidedIds.has(serverId));
}

function shareOf(
  { accountName }: dispatch.FleetWaiting,
  { shares }: scanQueues.ScannedQueue,
): Pick<types.PlacementRefusal, "share"> {
  const share = shares?.get(accountName ?? null);
  return share === undefined ? {} : { share };
}

function estimateWaitMs(
  waiting: dispatch.FleetWaiting,
  ordered: readonly dispatch.WaitingGeneration[],
  candidates: readonly dispatch.EngineCandidate[],
  { releaseTokensPerMs }: WaitContext,
): number {
  const predecessors = ordered.slice(0, ordered.indexOf(waiting));
  return dispatch.estimateCapacityWait({
    aheadTokens: predecessors.reduce((sum, { need }) => sum + dispatch.estimateTokens(need), 0),
    neededTokens: dispatch.estimateTokens(waiting.need),
    freeTokens: candidates.reduce(
      (sum, engine) => sum + Math.max(0, engine.memoryTokens - engine.committedTokens),
      0,
    ),
    releaseTokensPerMs,
  });
}

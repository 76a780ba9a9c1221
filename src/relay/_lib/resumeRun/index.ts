import * as diagnostics from "../../../diagnostics/index.js";
import * as constants from "../../constants.js";
import type * as relayContext from "../../relayContext.js";
import type * as types from "../../types.js";
import * as consumeRetries from "../consumeRetry/index.js";
import * as engineStreams from "../engineStream/index.js";
import * as placeRuns from "../placeRun/index.js";

const { Importance, LogEvent } = diagnostics;

/** Why a stream is resumed by a new run. */
export enum ResumeCause {
  /** The engine's stream broke off or was garbled, and no memory of the run could be used. */
  Broken = "broken",
  /** The engine sends nothing and cannot be connected to. */
  Silent = "silent",
}

/** A stream that is to be resumed. */
export interface ResumeRequest {
  readonly start: placeRuns.RunStart;
  readonly cause: ResumeCause;
  /** The engine whose stream ended. */
  readonly fromServerId: string;
  /** Engines that have run the generation; the one on which it is resumed is added. */
  readonly ranIds: Set<string>;
  /** Returns the time since the caller's last event. */
  readonly gapMs: () => number;
}

/** Whether a generation may run again, on another engine than those that have run it. */
export function canResume({ route }: types.Call, ranIds: ReadonlySet<string>): boolean {
  return route.isResumable && ranIds.size < route.maxServersCount;
}

/**
 * Resumes a stream by a new run on another engine that goes on after the caller's last event, within the
 * retry budget. Engines that have not run it may be tried one after the other.
 *
 * @returns the stream; null if there is none, or if the caller has left
 */
export async function resumeRun(
  context: relayContext.RelayContext,
  call: types.Call,
  { start, cause, fromServerId, ranIds, gapMs }: ResumeRequest,
): Promise<engineStreams.EngineStream | null> {
  const { clock, log } = context;
  const waitEndAtMs = clock.nowMs() + constants.RESUME_WAIT_LIMIT_MS;
  const terms: placeRuns.PlacementTerms = {
    priority: constants.MIGRATION_PRIORITY,
    // The deadline is that of the placement alone; a run that broke off goes on as long as it may.
    expectedRunMs: 0,
    objectiveAtMs: waitEndAtMs,
    deadlineAtMs: Math.min(call.deadlineAtMs, waitEndAtMs),
  };
  const avoidedIds = new Set(ranIds);
  for (let sendsCount = 0; sendsCount < constants.MAX_SENDS_COUNT; sendsCount += 1) {
    const record = (fields: diagnostics.LogFields): void =>
      log.record(Importance.Notable, LogEvent.StreamResumed, {
        requestId: call.head.id,
        cause,
        lastEventId: start.lastEventId,
        fromServerId,
        ...fields,
        gapMs: Math.round(gapMs()),
        remainingRetriesCount: Math.round(context.budget.countRemainingRetries(call.serviceName)),
      });
    if (!consumeRetries.consumeRetry(context, call)) {
      record({ outcome: "denied by the retry budget" });
      return null;
    }
    start.claims.releaseAll();
    const placed = await placeRuns.placeRun(context, call, start, terms, avoidedIds);
    if (placed.isErr()) {
      record({ outcome: placed.error.kind });
      return null;
    }
    const serverId = placed.value.server.entry.id;
    const outcome = await placeRuns.openPlacedRun(context, call, start, placed.value);
    record({ toServerId: serverId, outcome: outcome.kind });
    if (engineStreams.hasMaybeRun(outcome)) ranIds.add(serverId);
    if (outcome.kind === engineStreams.OpenKind.Open) return outcome.stream;
    if (outcome.kind !== engineStreams.OpenKind.NotRun || start.scope.signal.aborted) return null;
    avoidedIds.add(serverId);
  }
  return null;
}

import * as notRunPromises from "../../../_lib/promisesNotRun/index.js";
import type * as crashes from "../../../crashes/index.js";
import * as diagnostics from "../../../diagnostics/index.js";
import type * as servers from "../../../servers/index.js";
import * as dispatch from "../../../dispatch/index.js";
import * as constants from "../../constants.js";
import type * as engineDispatcher from "../../engineDispatcher/index.js";
import type * as relayContext from "../../relayContext.js";
import * as types from "../../types.js";
import * as answerRefusals from "../answerRefusal/index.js";
import type * as attemptScopes from "../attemptScope/index.js";
import type * as callSink from "../callSink/index.js";
import * as consumeRetries from "../consumeRetry/index.js";
import * as endRuns from "../endRun/index.js";
import * as engineStreams from "../engineStream/index.js";
import * as forwardableAnswers from "../forwardableAnswer/index.js";
import * as refusals from "../createRefusal/index.js";
import * as placeRuns from "../placeRun/index.js";
import * as sendRecords from "../sendRecord/index.js";

const { Importance, LogEvent } = diagnostics;

const SERVER_ERROR_STATUS = 500;

/** A generation for which an engine has opened a stream. */
export interface StartedRun {
  readonly stream: engineStreams.EngineStream;
  readonly head: types.AnswerHead;
}

/** What the ending of a call without a stream needs. */
interface Ending {
  readonly context: relayContext.RelayContext;
  readonly call: types.Call;
  readonly sink: callSink.CallSink;
  readonly sends: sendRecords.SendRecord;
}

/** What the start of a generation needs besides the call. */
interface StartOptions {
  readonly start: placeRuns.RunStart;
  /** Record to which the generation's sends are added. */
  readonly sends: sendRecords.SendRecord;
}

/**
 * Places a generation and opens its stream. Tries other engines if one did not execute it, and if one failed
 * and the route's streams may be resumed.
 *
 * @returns null if the caller was answered without a stream, or has disconnected
 */
export async function startRun(
  context: relayContext.RelayContext,
  call: types.Call,
  sink: callSink.CallSink,
  { start, sends }: StartOptions,
): Promise<StartedRun | null> {
  const { scope, claims } = start;
  const ending = { context, call, sink, sends };
  const blame = context.crashMonitor.findBlame(call);
  if (blame !== null) {
    withhold(ending, blame);
    return null;
  }
  const terms: placeRuns.PlacementTerms = {
    priority: placeRuns.priorityOf(call),
    expectedRunMs: claims.estimateTokensLeft(start.lastEventId) * dispatch.TOKEN_TIME_MS,
    objectiveAtMs: call.arrivedAtMs + call.route.objectiveMs,
    deadlineAtMs: call.deadlineAtMs,
  };
  const avoidedIds = new Set<string>();
  let withheld: crashes.Blame | null = null;
  for (let sendsCount = 0; sendsCount < constants.MAX_SENDS_COUNT;) {
    const placed = await placeRuns.placeRun(context, call, start, terms, avoidedIds);
    if (placed.isErr()) {
      if (sends.lastFailure !== null && !scope.signal.aborted) break;
      refusePlacement(ending, { scope, refusal: placed.error });
      return null;
    }
    const serverId = placed.value.server.entry.id;
    const outcome = await placeRuns.openPlacedRun(context, call, start, placed.value);
    sends.record(serverId, outcome);
    if (outcome.kind === engineStreams.OpenKind.Open) {
      endEarlierRuns(context, call, outcome.stream.server, sends);
      return outcome;
    }
    if (scope.signal.aborted) {
      answerTimeout(ending, scope);
      return null;
    }
    if (outcome.kind === engineStreams.OpenKind.Withheld) {
      withheld = outcome.blame;
      break;
    }
    if (outcome.kind !== engineStreams.OpenKind.NotRun && !canRunAgain(call, outcome, sends.ranIds))
      break;
    avoidedIds.add(serverId);
    claims.releaseAll();
    if (outcome.kind === engineStreams.OpenKind.NotRun && !outcome.wasSent) continue;
    sendsCount += 1;
    if (!consumeRetries.consumeRetry(context, call)) break;
  }
  answerFailure(ending, withheld);
  return null;
}

/** Ends the runs at engines that may have begun the generation before the one that streams it. */
function endEarlierRuns(
  context: relayContext.RelayContext,
  { head }: types.Call,
  nextServer: servers.ServerEntry,
  { ranIds }: sendRecords.SendRecord,
): void {
  for (const serverId of ranIds) {
    const server = context.directory.find(serverId)?.entry;
    if (server === undefined || serverId === nextServer.id) continue;
    void endRuns.endRun(context, { requestId: head.id, server, nextServer });
  }
}

/** Whether a generation that may have run, and has failed, may run on another engine. */
function canRunAgain(
  { route }: types.Call,
  outcome: engineStreams.OpenOutcome,
  ranIds: ReadonlySet<string>,
): boolean {
  if (!route.isResumable || ranIds.size >= route.maxServersCount) return false;
  if (outcome.kind === engineStreams.OpenKind.Unknown) return true;
  const { Answered } = engineStreams.OpenKind;
  if (outcome.kind !== Answered) return false;
  const { status } = outcome.head;
  return status >= SERVER_ERROR_STATUS || notRunPromises.promisesNotRun(status);
}

/** Answers a caller whose generation has no stream: with the last engine's failure, if there is one. */
function answerFailure(ending: Ending, withheld: crashes.Blame | null): void {
  const { context, call, sink, sends } = ending;
  const failure = sends.lastFailure;
  const isAnswered = failure?.kind === engineStreams.OpenKind.Answered;
  const answer = isAnswered ? forwardableAnswers.ForwardableAnswer.from(call, failure) : null;
  if (isAnswered && answer !== null) {
    sink.answer(answer);
    logFailure(context, call, failure.serverId, answer.status);
  } else if (withheld !== null) {
    withhold(ending, withheld);
  } else {
    const reason = types.RefusalReason.ServersRefused;
    const refusal = sends.createRefusal(reason, constants.DEFAULT_RETRY_AFTER_MS);
    refuse(ending, refusal, isAnswered ? describeAnswer(failure) : {});
  }
}

/** Describes in log fields an answer that is not forwarded. */
function describeAnswer(answer: {
  readonly serverId: string;
  readonly head: types.AnswerHead;
}): diagnostics.LogFields {
  return { serverId: answer.serverId, serverStatus: answer.head.status };
}

function logCallerDisconnected(context: relayContext.RelayContext, call: types.Call): void {
  context.log.record(Importance.Notable, LogEvent.CallerGone, {
    requestId: call.head.id,
    route: call.route.name,
    elapsedMs: Math.round(context.clock.nowMs() - call.arrivedAtMs),
  });
}

function logFailure(
  context: relayContext.RelayContext,
  call: types.Call,
  serverId: string,
  status: number,
): void {
  context.log.record(Importance.Notable, LogEvent.RequestFailed, {
    requestId: call.head.id,
    route: call.route.name,
    serverId,
    status,
    sendsCount: 1,
    elapsedMs: Math.round(context.clock.nowMs() - call.arrivedAtMs),
  });
}

const REASON_BY_PLACEMENT_KIND = {
  "no-server": types.RefusalReason.NoServer,
  evacuated: types.RefusalReason.Evacuated,
  "no-room": types.RefusalReason.NoCapacity,
  "caller-gone": null,
  stopping: types.RefusalReason.Stopping,
} as const;

function refusePlacement(
  ending: Ending,
  {
    scope,
    refusal,
  }: {
    readonly scope: attemptScopes.AttemptScope;
    readonly refusal: engineDispatcher.PlacementRefusal;
  },
): void {
  const { context, call, sends } = ending;
  const placementReason = REASON_BY_PLACEMENT_KIND[refusal.kind];
  const reason = scope.isTimedOut ? types.RefusalReason.TimedOutNotRun : placementReason;
  if (reason === null) {
    logCallerDisconnected(context, call);
    return;
  }
  const retryAfterMs = dispatch.computeRetryAfterMs(refusal.expectedWaitMs, context.random);
  const { expectedWaitMs, queuedCount, share } = refusal;
  refuse(ending, sends.createRefusal(reason, retryAfterMs), {
    expectedWaitMs: Math.round(Math.min(constants.MAX_LOGGED_WAIT_MS, expectedWaitMs)),
    queuedCount,
    ...(share === undefined ? {} : describeShare(call, share)),
  });
}

function describeShare(call: types.Call, share: dispatch.AccountShare): diagnostics.LogFields {
  return {
    account: call.account?.name,
    shareTokens: Math.round(share.shareTokens),
    usedTokens: Math.round(share.usedTokens),
    queuedTokens: Math.round(share.queuedTokens),
  };
}

function answerTimeout(ending: Ending, scope: attemptScopes.AttemptScope): void {
  const { context, call, sends } = ending;
  if (scope.isTimedOut) refuse(ending, sends.createRefusal(types.RefusalReason.TimedOutNotRun));
  else logCallerDisconnected(context, call);
}

/** Refuses a call under whose like servers have ended. */
function withhold(ending: Ending, blame: crashes.Blame): void {
  const refusal = ending.sends.createRefusal(types.RefusalReason.EndsServers, blame.retryAfterMs);
  refuse(ending, refusal, refusals.describeBlame(blame));
}

function refuse(
  { context, call, sink }: Ending,
  refusal: types.Refusal,
  details: diagnostics.LogFields = {},
): void {
  const { waitingCount } = context.dispatcher;
  answerRefusals.answerRefusal(context, call, sink, refusal, { waitingCount, ...details });
}

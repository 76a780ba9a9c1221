import type * as crashes from "../../../crashes/index.js";
import * as diagnostics from "../../../diagnostics/index.js";
import * as dispatch from "../../../dispatch/index.js";
import * as servers from "../../../servers/index.js";
import * as constants from "../../constants.js";
import type * as engineDispatcher from "../../engineDispatcher/index.js";
import type * as relayContext from "../../relayContext.js";
import * as types from "../../types.js";
import * as answerRefusals from "../answerRefusal/index.js";
import type * as attemptScopes from "../attemptScope/index.js";
import type * as callSink from "../callSink/index.js";
import * as consumeRetries from "../consumeRetry/index.js";
import * as engineStreams from "../engineStream/index.js";
import * as refusals from "../createRefusal/index.js";
import type * as runClaims from "../runClaims/index.js";

const { Importance, LogEvent } = diagnostics;

/** A generation for which an engine has opened a stream. */
export interface StartedRun {
  readonly stream: engineStreams.EngineStream;
  readonly head: types.AnswerHead;
}

type SentOutcome = Exclude<
  engineStreams.OpenOutcome,
  { readonly kind: engineStreams.OpenKind.Withheld }
>;

interface StartContext {
  readonly scope: attemptScopes.AttemptScope;
  readonly claims: runClaims.RunClaims;
}

/** Returns the priority of a call: the account's if it has one, else the route's; 0 is the most urgent. */
export function priorityOf(call: types.Call): number {
  return call.account?.priority ?? call.route.priority;
}

/**
 * Places a generation and opens its stream. Tries other engines if one did not execute it.
 *
 * @returns null if the caller was answered without a stream, or has disconnected
 */
export async function startRun(
  context: relayContext.RelayContext,
  call: types.Call,
  sink: callSink.CallSink,
  { scope, claims }: StartContext,
): Promise<StartedRun | null> {
  const blame = context.crashMonitor.findBlame(call);
  if (blame !== null) {
    withhold(context, call, sink, blame);
    return null;
  }
  const avoidedIds = new Set<string>();
  for (let sendsCount = 0; sendsCount < constants.MAX_SENDS_COUNT;) {
    const placed = await place(context, call, { scope, claims }, avoidedIds);
    if (placed.isErr()) {
      refusePlacement(context, call, sink, { scope, refusal: placed.error });
      return null;
    }
    const outcome = await openStreamOn(context, call, { scope, claims }, placed.value);
    if (outcome.kind === engineStreams.OpenKind.Open) return outcome;
    if (scope.signal.aborted) {
      answerTimeout(context, call, sink, scope, outcome);
      return null;
    }
    if (outcome.kind === engineStreams.OpenKind.Answered) {
      sink.answer(outcome.head.status, outcome.head.forwardedHeaders, outcome.body);
      logFailure(context, call, placed.value.server.entry.id, outcome.head.status);
      return null;
    }
    if (outcome.kind === engineStreams.OpenKind.Withheld) {
      withhold(context, call, sink, outcome.blame);
      return null;
    }
    if (outcome.kind === engineStreams.OpenKind.Unknown) {
      refuse(context, call, sink, refusals.createRefusal(types.RefusalReason.OutcomeUnknown));
      return null;
    }
    avoidedIds.add(placed.value.server.entry.id);
    claims.releaseAll();
    if (!outcome.wasSent) continue;
    sendsCount += 1;
    if (!consumeRetries.consumeRetry(context, call)) break;
  }
  const reason = types.RefusalReason.ServersRefused;
  refuse(context, call, sink, refusals.createRefusal(reason, constants.DEFAULT_RETRY_AFTER_MS));
  return null;
}

function place(
  context: relayContext.RelayContext,
  call: types.Call,
  { scope, claims }: StartContext,
  avoidedIds: ReadonlySet<string>,
): ReturnType<engineDispatcher.EngineDispatcher["place"]> {
  return context.dispatcher.place({
    requestId: call.head.id,
    serviceName: call.serviceName,
    need: claims.createInitialNeed(),
    role: dispatch.ClaimRole.Run,
    priority: priorityOf(call),
    expectedRunMs: claims.expectedOutputTokens * dispatch.TOKEN_TIME_MS,
    objectiveAtMs: call.arrivedAtMs + call.route.objectiveMs,
    deadlineAtMs: call.deadlineAtMs,
    avoidedIds: new Set(avoidedIds),
    signal: scope.signal,
  });
}

async function openStreamOn(
  context: relayContext.RelayContext,
  call: types.Call,
  { scope, claims }: StartContext,
  placement: engineDispatcher.Placement,
): Promise<engineStreams.OpenOutcome> {
  const { clock, trust, meters } = context;
  const server = placement.server.entry;
  const startedAtMs = clock.nowMs();
  meters.queueWait.observe(placement.waitedMs / 1_000);
  logPlacement(context, call, placement);
  const backup = claims.selectBackup(server.id, 0);
  if (backup !== null) claims.claimBackup(backup, 0);
  const options: types.AttemptOptions = {
    server,
    timeLeftMs: call.deadlineAtMs - startedAtMs,
    priority: priorityOf(call),
    backupAddress: backup === null ? null : servers.addressOf(backup.entry),
    continuation: null,
  };
  const outcome = await engineStreams.openStream(context, call, {
    server,
    options: () => options,
    signal: scope.signal,
  });
  if (outcome.kind === engineStreams.OpenKind.Withheld) return outcome;
  const elapsedMs = clock.nowMs() - startedAtMs;
  if (outcome.kind === engineStreams.OpenKind.Open) {
    context.dispatcher.recordFirstEvent(server.id, placement.expectedFirstEventMs, elapsedMs);
  }
  if (scope.signal.aborted) return outcome;
  const verdict = verdictOf(outcome);
  trust.recordOutcome(server, verdict, elapsedMs);
  meters.attempts.inc({ service: call.serviceName, outcome: verdict });
  markServerReplaced(context, server, outcome);
  if (outcome.kind !== engineStreams.OpenKind.Open) {
    context.log.record(Importance.Notable, LogEvent.AttemptEnded, {
      requestId: call.head.id,
      serverId: server.id,
      outcome: outcome.kind,
      cause: "cause" in outcome ? outcome.cause : `status ${outcome.head.status}`,
      elapsedMs: Math.round(elapsedMs),
    });
  }
  return outcome;
}

function logPlacement(
  context: relayContext.RelayContext,
  call: types.Call,
  placement: engineDispatcher.Placement,
): void {
  const { entry, receivedAtMs } = placement.server;
  const load = context.dispatcher.loadOf(entry.id);
  context.log.record(Importance.Routine, LogEvent.RequestPlaced, {
    requestId: call.head.id,
    route: call.route.name,
    account: call.account?.name,
    serverId: entry.id,
    entryAgeMs: Math.round(context.clock.nowMs() - receivedAtMs),
    waitedMs: Math.round(placement.waitedMs),
    expectedFirstEventMs: Math.round(placement.expectedFirstEventMs),
    committedTokens: Math.round(load.committedTokens),
    runningCount: load.runningCount,
    candidatesCount: placement.candidatesCount,
    queuedCount: placement.queuedCount,
  });
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

function verdictOf(outcome: SentOutcome): servers.AttemptVerdict {
  if (outcome.kind === engineStreams.OpenKind.Open) return servers.AttemptVerdict.Served;
  if (outcome.kind === engineStreams.OpenKind.Answered) return servers.AttemptVerdict.Failed;
  if (outcome.kind === engineStreams.OpenKind.Unknown) return servers.AttemptVerdict.Broken;
  return outcome.wasSent ? servers.AttemptVerdict.Refused : servers.AttemptVerdict.Unreachable;
}

function markServerReplaced(
  context: relayContext.RelayContext,
  server: servers.ServerEntry,
  outcome: engineStreams.OpenOutcome,
): void {
  if (outcome.kind !== engineStreams.OpenKind.NotRun || !outcome.isOtherServer) return;
  context.directory.markLeaving(server.id, servers.LeavingReason.ReplacedAtAddress);
}

const REASON_BY_PLACEMENT_KIND = {
  "no-server": types.RefusalReason.NoServer,
  "no-room": types.RefusalReason.NoCapacity,
  "caller-gone": null,
} as const;

function refusePlacement(
  context: relayContext.RelayContext,
  call: types.Call,
  sink: callSink.CallSink,
  {
    scope,
    refusal,
  }: {
    readonly scope: attemptScopes.AttemptScope;
    readonly refusal: engineDispatcher.PlacementRefusal;
  },
): void {
  const placementReason = REASON_BY_PLACEMENT_KIND[refusal.kind];
  const reason = scope.isTimedOut ? types.RefusalReason.TimedOutNotRun : placementReason;
  if (reason === null) {
    logCallerDisconnected(context, call);
    return;
  }
  const retryAfterMs = dispatch.computeRetryAfterMs(refusal.expectedWaitMs, context.random);
  refuse(context, call, sink, refusals.createRefusal(reason, retryAfterMs));
}

function answerTimeout(
  context: relayContext.RelayContext,
  call: types.Call,
  sink: callSink.CallSink,
  scope: attemptScopes.AttemptScope,
  outcome: engineStreams.OpenOutcome,
): void {
  if (!scope.isTimedOut) {
    logCallerDisconnected(context, call);
    return;
  }
  const { kind } = outcome;
  const wasSent =
    kind !== engineStreams.OpenKind.NotRun && kind !== engineStreams.OpenKind.Withheld;
  const reason = wasSent ? types.RefusalReason.TimedOut : types.RefusalReason.TimedOutNotRun;
  refuse(context, call, sink, refusals.createRefusal(reason));
}

/** Refuses a call under whose like servers have ended. */
function withhold(
  context: relayContext.RelayContext,
  call: types.Call,
  sink: callSink.CallSink,
  blame: crashes.Blame,
): void {
  const refusal = refusals.createBlameRefusal(blame);
  answerRefusals.answerRefusal(context, call, sink, refusal, refusals.describeBlame(blame));
}

function refuse(
  context: relayContext.RelayContext,
  call: types.Call,
  sink: callSink.CallSink,
  refusal: types.Refusal,
): void {
  const { waitingCount } = context.dispatcher;
  answerRefusals.answerRefusal(context, call, sink, refusal, { waitingCount });
}

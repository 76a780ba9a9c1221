import * as crashes from "../../../crashes/index.js";
import * as diagnostics from "../../../diagnostics/index.js";
import * as dispatch from "../../../dispatch/index.js";
import * as servers from "../../../servers/index.js";
import type * as engineDispatcher from "../../engineDispatcher/index.js";
import type * as relayContext from "../../relayContext.js";
import type * as types from "../../types.js";
import type * as attemptScopes from "../attemptScope/index.js";
import * as engineStreams from "../engineStream/index.js";
import type * as runClaims from "../runClaims/index.js";

const { Importance, LogEvent } = diagnostics;

type SentOutcome = Exclude<
  engineStreams.OpenOutcome,
  { readonly kind: engineStreams.OpenKind.Withheld }
>;

/** A new run of a generation, from its begin or after the caller's last event. */
export interface RunStart {
  readonly scope: attemptScopes.AttemptScope;
  readonly claims: runClaims.RunClaims;
  /** Id of the last event that the caller has; 0 if it has none. */
  readonly lastEventId: number;
}

/** How urgent the placement of a run is, and until when it has to happen. */
export interface PlacementTerms {
  /** 0 is the most urgent of the callers' priorities. */
  readonly priority: number;
  /** Time that the run takes once it is placed, which has to end before the deadline. */
  readonly expectedRunMs: number;
  readonly objectiveAtMs: number;
  readonly deadlineAtMs: number;
}

/** Returns the priority of a call: the account's if it has one, else the route's; 0 is the most urgent. */
export function priorityOf(call: types.Call): number {
  return call.account?.priority ?? call.route.priority;
}

/** Waits until an engine has capacity for a run, and claims it. */
export function placeRun(
  context: relayContext.RelayContext,
  call: types.Call,
  { scope, claims, lastEventId }: RunStart,
  terms: PlacementTerms,
  avoidedIds: ReadonlySet<string>,
): ReturnType<engineDispatcher.EngineDispatcher["place"]> {
  return context.dispatcher.place({
    ...terms,
    requestId: call.head.id,
    serviceName: call.serviceName,
    accountName: call.account?.name ?? null,
    need: claims.createInitialNeed(lastEventId),
    role: dispatch.ClaimRole.Run,
    avoidedIds: new Set(avoidedIds),
    signal: scope.signal,
  });
}

/** Requests the stream of a placed run from its engine, and records the outcome for the engine's health. */
export async function openPlacedRun(
  context: relayContext.RelayContext,
  call: types.Call,
  { scope, claims, lastEventId }: RunStart,
  placement: engineDispatcher.Placement,
): Promise<engineStreams.OpenOutcome> {
  const { clock, trust, meters } = context;
  const server = placement.server.entry;
  const startedAtMs = clock.nowMs();
  meters.queueWait.observe(placement.waitedMs / 1_000);
  logPlacement(context, call, placement, lastEventId);
  const backup = claims.selectBackup(server.id, lastEventId);
  if (backup !== null) claims.claimBackup(backup, lastEventId);
  const options: types.AttemptOptions = {
    server,
    timeLeftMs: call.deadlineAtMs - startedAtMs,
    priority: priorityOf(call),
    backupAddress: backup === null ? null : servers.addressOf(backup.entry),
    continuation: null,
    lastEventId,
  };
  const outcome = await engineStreams.openStream(context, call, {
    server,
    options: () => options,
    signal: scope.signal,
  });
  if (outcome.kind === engineStreams.OpenKind.Withheld) return outcome;
  const elapsedMs = clock.nowMs() - startedAtMs;
  if (outcome.kind === engineStreams.OpenKind.Open) {
    if (server.coldRemainingMs === 0) {
      const { speeds } = context.dispatcher;
      speeds.recordFirstEvent(server, placement.nominalFirstEventMs, elapsedMs);
    }
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
  lastEventId: number,
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
    writingRatio: Number(context.dispatcher.speedOf(entry).writingRatio.toFixed(2)),
    isRemote: entry.dataCentre !== context.dataCentre,
    candidatesCount: placement.candidatesCount,
    queuedCount: placement.queuedCount,
    ...(call.route.isResumable ? { lastEventId, streamKey: streamKeyOf(call) } : {}),
  });
}

/** Key that all attempts of one stream have in common, at any VM. */
function streamKeyOf({ suspects }: types.Call): string | undefined {
  return suspects.find(({ kind }) => kind === crashes.SuspectKind.Request)?.key;
}

function verdictOf(outcome: SentOutcome): servers.AttemptVerdict {
  if (outcome.kind === engineStreams.OpenKind.Open) return servers.AttemptVerdict.Served;
  if (outcome.kind === engineStreams.OpenKind.Answered) return servers.AttemptVerdict.Failed;
  if (outcome.kind === engineStreams.OpenKind.Unknown) return servers.AttemptVerdict.Broken;
  const wasReached = outcome.wasSent || outcome.wasConnected === true;
  return wasReached ? servers.AttemptVerdict.Refused : servers.AttemptVerdict.Unreachable;
}

function markServerReplaced(
  context: relayContext.RelayContext,
  server: servers.ServerEntry,
  outcome: engineStreams.OpenOutcome,
): void {
  if (outcome.kind !== engineStreams.OpenKind.NotRun || !outcome.isOtherServer) return;
  context.directory.markLeaving(server.id, servers.LeavingReason.ReplacedAtAddress);
}

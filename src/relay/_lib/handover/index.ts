import * as neverthrow from "neverthrow";

import * as diagnostics from "../../../diagnostics/index.js";
import * as dispatch from "../../../dispatch/index.js";
import * as servers from "../../../servers/index.js";
import * as constants from "../../constants.js";
import type * as relayContext from "../../relayContext.js";
import * as types from "../../types.js";
import * as attemptScopes from "../attemptScope/index.js";

const { Importance, LogEvent } = diagnostics;

/** Why a run is carried elsewhere. */
export enum HandoverCause {
  Leaving = "leaving",
  Silent = "silent",
}

/** By what a run goes on elsewhere. */
export enum HandoverWay {
  Backup = "backup",
  Move = "move",
}

/** An engine at which a run can go on, and where its memory stands. */
export interface ContinuationTarget {
  readonly way: HandoverWay;
  readonly server: servers.ServerEntry;
  readonly memory: Omit<types.Continuation, "lastEventId">;
}

/** A run whose memory is to be moved. */
export interface MoveRequest {
  readonly requestId: string;
  readonly serviceName: string;
  readonly from: servers.ServerEntry;
  readonly need: dispatch.GenerationNeed;
  /** When the engine's leaving was noticed; on the VM's own clock. */
  readonly noticedAtMs: number;
  /** Aborted once the run's stream has ended. */
  readonly ended: AbortSignal;
}

/** The target at which a run's copy stands, if its engine takes work. */
export function backupTarget(
  backup: servers.KnownServer | null,
  requestId: string,
): ContinuationTarget | null {
  if (backup?.leaving !== null) return null;
  const { entry } = backup;
  return {
    way: HandoverWay.Backup,
    server: entry,
    memory: { memoryAddress: servers.addressOf(entry), memoryHandle: requestId },
  };
}

/**
 * Moves the memory of a run off an engine that leaves: waits for its turn among the engine's runs,
 * copies the memory while the run goes on, then stops the run and copies what is new.
 *
 * @returns null where no engine has room, or the run has ended before; else the claim of the move
 *   stands until the run has gone on, so that its room goes to no other
 */
export async function moveMemory(
  context: relayContext.RelayContext,
  request: MoveRequest,
): Promise<ContinuationTarget | null> {
  await waitForTurn(context, request);
  const refusedIds = new Set([request.from.id]);
  while (refusedIds.size <= constants.MAX_MOVE_TARGETS_COUNT) {
    if (request.ended.aborted) return null;
    const target = await claimTarget(context, request, refusedIds);
    if (target === null) return noteFailure(context, request, "no engine has room");
    const handle = await copyTwice(context, request, target);
    if (handle.isOk()) {
      const memory = { memoryAddress: servers.addressOf(request.from), memoryHandle: handle.value };
      return { way: HandoverWay.Move, server: target, memory };
    }
    context.dispatcher.releaseClaim(request.requestId, dispatch.ClaimRole.Move);
    noteFailure(context, request, handle.error.cause);
    if (handle.error.failure !== types.MoveFailure.NoRoom) return null;
    refusedIds.add(target.id);
  }
  return null;
}

/** Waits until the runs ahead are seen at other engines, or have had the time for it. */
async function waitForTurn(
  context: relayContext.RelayContext,
  { requestId, from, noticedAtMs, ended }: MoveRequest,
): Promise<void> {
  const { clock, dispatcher } = context;
  const runsAhead = (): readonly dispatch.MovingRun[] =>
    dispatch.runsAhead(dispatcher.runsToMoveFrom(from.id), requestId);
  const untilMs = noticedAtMs + dispatch.longestTurnWaitMs(runsAhead());
  while (clock.nowMs() < untilMs && runsAhead().length > 0 && !ended.aborted) {
    await clock.sleep(Math.min(constants.TURN_CHECK_MS, untilMs - clock.nowMs()));
  }
}

/** Why a move failed, and at which of its copies. */
interface MoveError {
  readonly failure: types.MoveFailure;
  readonly cause: string;
}

/** Claims an engine with room for the run, before all that waits at any VM; null where none has. */
async function claimTarget(
  context: relayContext.RelayContext,
  request: MoveRequest,
  avoidedIds: ReadonlySet<string>,
): Promise<servers.ServerEntry | null> {
  const { clock, dispatcher } = context;
  const { requestId, serviceName, from, ended } = request;
  const untilMs = request.noticedAtMs + constants.MOVE_WAIT_LIMIT_MS;
  using scope = new attemptScopes.AttemptScope(clock, untilMs, ended);
  const placed = await dispatcher.place({
    requestId,
    serviceName,
    need: { ...request.need, dataCentre: from.dataCentre },
    role: dispatch.ClaimRole.Move,
    priority: constants.MOVE_PRIORITY,
    expectedRunMs: 0,
    objectiveAtMs: untilMs,
    deadlineAtMs: untilMs,
    avoidedIds: new Set(avoidedIds),
    signal: scope.signal,
  });
  return placed.isOk() ? placed.value.server.entry : null;
}

async function copyTwice(
  context: relayContext.RelayContext,
  request: MoveRequest,
  target: servers.ServerEntry,
): Promise<neverthrow.Result<string, MoveError>> {
  const first = await copy(context, request, target, false);
  if (first.isErr()) return neverthrow.err(moveError(first.error, "first"));
  const last = await copy(context, request, target, true);
  return last.map(({ handle }) => handle).mapErr((failure) => moveError(failure, "last"));
}

async function copy(
  { control, clock, log }: relayContext.RelayContext,
  { requestId, from }: MoveRequest,
  target: servers.ServerEntry,
  stopsRun: boolean,
): Promise<neverthrow.Result<types.MovedMemory, types.MoveFailure>> {
  const startedAtMs = clock.nowMs();
  const timeoutMs = constants.MOVE_TIMEOUT_MS;
  const moved = await control.moveRun(from, target, requestId, { stopsRun, timeoutMs });
  log.record(Importance.Notable, LogEvent.MemoryCopied, {
    requestId,
    fromServerId: from.id,
    toServerId: target.id,
    stopsRun,
    outcome: moved.isOk() ? "copied" : moved.error,
    elapsedMs: Math.round(clock.nowMs() - startedAtMs),
  });
  return moved;
}

function moveError(failure: types.MoveFailure, copy: "first" | "last"): MoveError {
  // Once the run was stopped no other engine can be tried.
  const isFinal = copy === "last" && failure === types.MoveFailure.NoRoom;
  return {
    failure: isFinal ? types.MoveFailure.NoSuchRun : failure,
    cause: `${copy} copy: ${failure}`,
  };
}

function noteFailure(
  context: relayContext.RelayContext,
  request: MoveRequest,
  cause: string,
): null {
  context.meters.handovers.inc({ way: HandoverWay.Move, outcome: "failed" });
  context.log.record(Importance.Notable, LogEvent.HandoverFailed, {
    requestId: request.requestId,
    fromServerId: request.from.id,
    cause,
    sinceNoticeMs: Math.round(context.clock.nowMs() - request.noticedAtMs),
  });
  return null;
}

import * as neverthrow from "neverthrow";

import * as diagnostics from "../../../diagnostics/index.js";
import * as dispatch from "../../../dispatch/index.js";
import * as servers from "../../../servers/index.js";
import * as constants from "../../constants.js";
import type * as relayContext from "../../relayContext.js";
import * as types from "../../types.js";

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
 * @returns null where no engine has room, or the run has ended before
 */
export async function moveMemory(
  context: relayContext.RelayContext,
  request: MoveRequest,
): Promise<ContinuationTarget | null> {
  await waitForTurn(context, request);
  const refusedIds = new Set([request.from.id]);
  while (refusedIds.size <= constants.MAX_MOVE_TARGETS_COUNT) {
    if (!isStillThere(context, request)) return null;
    const target = chooseTarget(context, request, refusedIds);
    if (target === undefined) return noteFailure(context, request, "no engine has room");
    const handle = await moveTo(context, request, target);
    if (handle.isOk()) {
      const memory = { memoryAddress: servers.addressOf(request.from), memoryHandle: handle.value };
      return { way: HandoverWay.Move, server: target, memory };
    }
    noteFailure(context, request, handle.error.cause);
    if (handle.error.failure !== types.MoveFailure.NoRoom) return null;
    refusedIds.add(target.id);
  }
  return null;
}

/** Waits until the runs ahead are seen at other engines, or have had the time for it. */
async function waitForTurn(
  context: relayContext.RelayContext,
  { requestId, from, need, noticedAtMs }: MoveRequest,
): Promise<void> {
  const { clock, dispatcher } = context;
  const usedTokens = need.promptTokens + need.producedTokens;
  const runsAhead = (): readonly dispatch.MovingRun[] =>
    dispatch.runsAhead(dispatcher.runsToMoveFrom(from.id), requestId);
  const untilMs = noticedAtMs + dispatch.longestTurnWaitMs(runsAhead(), usedTokens);
  while (clock.nowMs() < untilMs && runsAhead().length > 0) {
    await clock.sleep(Math.min(constants.TURN_CHECK_MS, untilMs - clock.nowMs()));
  }
}

/** Whether the run is still on the engine that leaves, and has not ended meanwhile. */
function isStillThere(
  { dispatcher }: relayContext.RelayContext,
  { requestId, from }: MoveRequest,
): boolean {
  return dispatcher.claimOf(requestId, dispatch.ClaimRole.Run)?.serverId === from.id;
}

/** Why a move failed, and at which of its copies. */
interface MoveError {
  readonly failure: types.MoveFailure;
  readonly cause: string;
}

function chooseTarget(
  context: relayContext.RelayContext,
  request: MoveRequest,
  avoidedIds: ReadonlySet<string>,
): servers.ServerEntry | undefined {
  const candidates = context.dispatcher.candidates(request.serviceName, avoidedIds);
  const { dataCentre } = request.from;
  const engine = dispatch.selectMoveTarget(request.need, candidates, dataCentre);
  return engine && context.directory.find(engine.serverId)?.entry;
}

/** Moves the memory to one engine, whose room is claimed meanwhile; gives the handle of the copy. */
async function moveTo(
  context: relayContext.RelayContext,
  request: MoveRequest,
  target: servers.ServerEntry,
): Promise<neverthrow.Result<string, MoveError>> {
  const { dispatcher, vmName } = context;
  const { requestId, need } = request;
  const role = dispatch.ClaimRole.Backup;
  dispatcher.putClaim({
    ...need,
    requestId,
    role,
    vmName,
    serverId: target.id,
    hasFirstEvent: true,
  });
  const handle = await copyTwice(context, request, target);
  dispatcher.releaseClaim(requestId, role);
  return handle;
}

async function copyTwice(
  context: relayContext.RelayContext,
  request: MoveRequest,
  target: servers.ServerEntry,
): Promise<neverthrow.Result<string, MoveError>> {
  const { control } = context;
  const { from, requestId } = request;
  const timeoutMs = constants.MOVE_TIMEOUT_MS;
  const first = await control.moveRun(from, target, requestId, { stopsRun: false, timeoutMs });
  if (first.isErr()) return neverthrow.err(moveError(first.error, "first"));
  const last = await control.moveRun(from, target, requestId, { stopsRun: true, timeoutMs });
  return last.map(({ handle }) => handle).mapErr((failure) => moveError(failure, "last"));
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

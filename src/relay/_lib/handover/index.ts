import * as diagnostics from "../../../diagnostics/index.js";
import * as dispatch from "../../../dispatch/index.js";
import * as servers from "../../../servers/index.js";
import * as constants from "../../constants.js";
import type * as relayContext from "../../relayContext.js";
import type * as types from "../../types.js";

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
 * Moves the memory of a run off an engine that leaves: copies it while the run goes on, waits
 * until the copies of the engine's other runs are likely through, then stops the run and copies
 * what is new. All copies of an engine share its link, so that a last one that came sooner would
 * wait for the first ones of others while its caller sees nothing.
 *
 * @returns null where no engine has room, or the engine was gone before
 */
export async function moveMemory(
  context: relayContext.RelayContext,
  request: MoveRequest,
): Promise<ContinuationTarget | null> {
  const { requestId, from, need } = request;
  const { dispatcher, directory } = context;
  const candidates = dispatcher.candidates(request.serviceName, new Set([from.id]));
  const engine = dispatch.selectMoveTarget(need, candidates, from.dataCentre);
  const target = engine && directory.find(engine.serverId)?.entry;
  if (target === undefined) return noteFailure(context, request, "no engine has room");
  dispatcher.putClaim({
    ...need,
    requestId,
    role: dispatch.ClaimRole.Backup,
    vmName: context.vmName,
    serverId: target.id,
    hasFirstEvent: true,
  });
  const handle = await copyTwice(context, request, target);
  dispatcher.releaseClaim(requestId, dispatch.ClaimRole.Backup);
  if (handle === null) return null;
  return {
    way: HandoverWay.Move,
    server: target,
    memory: { memoryAddress: servers.addressOf(from), memoryHandle: handle },
  };
}

async function copyTwice(
  context: relayContext.RelayContext,
  request: MoveRequest,
  target: servers.ServerEntry,
): Promise<string | null> {
  const { control, clock, dispatcher } = context;
  const { from, requestId } = request;
  const timeoutMs = constants.MOVE_TIMEOUT_MS;
  const othersTokens = dispatcher.tokensToMoveFrom(from.id);
  const first = await control.moveRun(from, target, requestId, { stopsRun: false, timeoutMs });
  if (first.isErr()) return noteFailure(context, request, `first copy: ${first.error}`);
  const lastAtMs = request.noticedAtMs + dispatch.lastCopyDelayMs(othersTokens);
  const waitMs = lastAtMs - clock.nowMs();
  if (waitMs > 0) await clock.sleep(waitMs);
  const last = await control.moveRun(from, target, requestId, { stopsRun: true, timeoutMs });
  if (last.isErr()) return noteFailure(context, request, `last copy: ${last.error}`);
  return last.value.handle;
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

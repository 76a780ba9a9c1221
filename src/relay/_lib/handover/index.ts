import * as diagnostics from "../../../diagnostics/index.js";
import * as dispatch from "../../../dispatch/index.js";
import type * as servers from "../../../servers/index.js";
import * as constants from "../../constants.js";
import type * as relayContext from "../../relayContext.js";
import type * as engineStreams from "../engineStream/index.js";

const { Importance, LogEvent } = diagnostics;

/** By what a run goes on elsewhere. */
export enum HandoverWay {
  Backup = "backup",
  Move = "move",
}

/** An engine at which a run can go on, and where its memory stands. */
export interface ContinuationTarget {
  readonly way: HandoverWay;
  readonly server: servers.ServerEntry;
  readonly memoryAddress: string;
  readonly memoryHandle: string;
}

/** A run that is being carried elsewhere; the targets are there once its memory is. */
export interface Handover {
  readonly targets: Promise<readonly ContinuationTarget[]>;
}

/** What a handover is decided on. */
export interface HandoverCase {
  readonly requestId: string;
  readonly cause: "leaving" | "silent";
  readonly stream: engineStreams.EngineStream;
  /** Time for which the run is expected to go on. */
  readonly restMs: number;
  readonly lastEventId: number;
  readonly need: dispatch.GenerationNeed;
  readonly serviceName: string;
  readonly backup: servers.KnownServer | null;
}

/** A run that ends sooner than this stays where it is: reclaimed engines are gone 1.5 s after notice. */
const STAY_LIMIT_MS = 500;

/** Time in which a stream that its engine has stopped closes by itself. */
const CLOSE_GRACE_MS = 120;

/**
 * Begins to carry a run elsewhere, over its copy where it has one, or else by moving its memory.
 *
 * @returns null where the run stays
 */
export function beginHandover(
  context: relayContext.RelayContext,
  request: HandoverCase,
): Handover | null {
  const backup = usableBackup(request.backup);
  const way = backup === null ? HandoverWay.Move : HandoverWay.Backup;
  const isStaying = request.cause === "leaving" && request.restMs < STAY_LIMIT_MS;
  context.log.record(Importance.Notable, LogEvent.HandoverStarted, {
    requestId: request.requestId,
    cause: request.cause,
    way: isStaying ? "stays" : way,
    fromServerId: request.stream.server.id,
    restMs: Math.round(request.restMs),
    lastEventId: request.lastEventId,
  });
  if (isStaying) return null;
  if (backup !== null) {
    request.stream.close();
    return { targets: Promise.resolve([backupTarget(backup, request.requestId)]) };
  }
  if (request.cause === "silent") return null;
  return { targets: moveMemory(context, request) };
}

/** Where a run can go on after its stream has ended, the best first. */
export async function continuationTargets(
  handover: Handover | null,
  backup: servers.KnownServer | null,
  requestId: string,
): Promise<readonly ContinuationTarget[]> {
  const moved = handover === null ? [] : await handover.targets;
  const usable = usableBackup(backup);
  if (usable === null || moved.some(({ way }) => way === HandoverWay.Backup)) return moved;
  return [...moved, backupTarget(usable, requestId)];
}

async function moveMemory(
  context: relayContext.RelayContext,
  request: HandoverCase,
): Promise<readonly ContinuationTarget[]> {
  const { stream } = request;
  const candidates = context.dispatcher.candidates(
    request.serviceName,
    new Set([stream.server.id]),
  );
  const engine = dispatch.selectEngine(request.need, candidates);
  const target = engine && context.directory.find(engine.serverId);
  if (target === undefined) {
    noteFailure(context, request, "no engine has room");
    return [];
  }
  context.dispatcher.putClaim({
    ...request.need,
    requestId: request.requestId,
    role: dispatch.ClaimRole.Backup,
    vmName: context.vmName,
    serverId: target.entry.id,
    hasFirstEvent: true,
  });
  const handle = await copyThenStop(context, request, target.entry);
  context.dispatcher.releaseClaim(request.requestId, dispatch.ClaimRole.Backup);
  if (handle === null) return [];
  context.clock.schedule(CLOSE_GRACE_MS, () => stream.close());
  return [
    {
      way: HandoverWay.Move,
      server: target.entry,
      memoryAddress: addressOf(stream.server),
      memoryHandle: handle,
    },
  ];
}

/** Copies the memory while the run goes on, then stops the run and copies what is new. */
async function copyThenStop(
  context: relayContext.RelayContext,
  request: HandoverCase,
  target: servers.ServerEntry,
): Promise<string | null> {
  const from = request.stream.server;
  const timeoutMs = constants.MOVE_TIMEOUT_MS;
  for (const stopsRun of [false, true]) {
    const moved = await context.control.moveRun(from, target, request.requestId, {
      stopsRun,
      timeoutMs,
    });
    if (moved.isErr()) {
      noteFailure(context, request, `${stopsRun ? "last" : "first"} copy: ${moved.error}`);
      return null;
    }
    if (stopsRun) return moved.value.handle;
  }
  return null;
}

function noteFailure(
  context: relayContext.RelayContext,
  request: HandoverCase,
  cause: string,
): void {
  context.meters.handovers.inc({ way: HandoverWay.Move, outcome: "failed" });
  context.log.record(Importance.Notable, LogEvent.HandoverFailed, {
    requestId: request.requestId,
    fromServerId: request.stream.server.id,
    cause,
  });
}

function usableBackup(backup: servers.KnownServer | null): servers.ServerEntry | null {
  return backup?.leaving === null ? backup.entry : null;
}

function backupTarget(backup: servers.ServerEntry, requestId: string): ContinuationTarget {
  return {
    way: HandoverWay.Backup,
    server: backup,
    memoryAddress: addressOf(backup),
    memoryHandle: requestId,
  };
}

function addressOf(server: servers.ServerEntry): string {
  return `${server.host}:${server.port}`;
}

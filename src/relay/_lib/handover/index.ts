import * as neverthrow from "neverthrow";

import * as diagnostics from "../../../diagnostics/index.js";
import * as dispatch from "../../../dispatch/index.js";
import * as servers from "../../../servers/index.js";
import * as constants from "../../constants.js";
import type * as relayContext from "../../relayContext.js";
import * as types from "../../types.js";
import * as attemptScopes from "../attemptScope/index.js";
import * as targetChanges from "../findTargetChange/index.js";

const { Importance, LogEvent } = diagnostics;

/** Why a run is handed over to another engine. */
export enum HandoverCause {
  /** The engine is leaving, or is no longer known. */
  Leaving = "leaving",
  /** The engine sends no data and cannot be connected to. */
  Silent = "silent",
}

/** How a run continues on another engine. */
export enum HandoverMethod {
  /** From the backup that another engine keeps. */
  Backup = "backup",
  /** From memory that is transferred from the leaving engine. */
  Migration = "move",
}

/** An engine on which a run can continue, and the location of the run's memory. */
export interface ContinuationTarget {
  readonly method: HandoverMethod;
  readonly server: servers.ServerEntry;
  readonly memory: types.Continuation;
}

/** A run whose memory is to be transferred to another engine. */
export interface MigrationRequest {
  readonly requestId: string;
  readonly serviceName: string;
  readonly from: servers.ServerEntry;
  readonly need: dispatch.GenerationNeed;
  /** When this VM learned that the engine is leaving, on its monotonic clock. */
  readonly noticedAtMs: number;
  /** Aborted when the run's stream has ended. */
  readonly streamEnded: AbortSignal;
  /** Called when the engine is asked to stop the run, with a promise of whether it may have. */
  readonly onStopping: (mayBeStopped: Promise<boolean>) => void;
}

/** Failures of a last copy after which the run has not been stopped by it. */
const UNSTOPPED_FAILURES: ReadonlySet<types.MemoryCopyFailure> = new Set([
  types.MemoryCopyFailure.NoSuchRun,
  types.MemoryCopyFailure.Busy,
]);

/** Returns the continuation on a run's backup; null if there is none or its engine is leaving. */
export function createBackupTarget(
  backup: servers.KnownServer | null,
  requestId: string,
): ContinuationTarget | null {
  if (backup?.leaving !== null) return null;
  const { entry } = backup;
  return {
    method: HandoverMethod.Backup,
    server: entry,
    memory: { memoryAddress: servers.addressOf(entry), memoryHandle: requestId },
  };
}

/**
 * Waits until a continuation may be sent to its engine: until the end of a pause that the engine asks for and, on
 * a backup, until a slot under its rate, as many runs can continue there at once.
 *
 * @returns whether it may be sent; false if the call ends before that
 */
export async function reserveContinuation(
  { backpressure, clock }: Pick<relayContext.RelayContext, "backpressure" | "clock">,
  { method, server }: ContinuationTarget,
  signal: AbortSignal,
  endAtMs = Infinity,
): Promise<boolean> {
  // A migration has been counted at its placement.
  const isCounted = method !== HandoverMethod.Backup;
  const statedMs = isCounted ? 0 : backpressure.delayMs(server);
  // Other VMs have the whole rate. The run's memory is only here.
  const delayMs = Number.isFinite(statedMs) ? statedMs : backpressure.coldDelayMs(server);
  let waitMs = Math.max(delayMs, backpressure.pauseMs(server));
  if (clock.nowMs() + waitMs >= endAtMs) return false;
  if (!isCounted) backpressure.reserve(server);
  // Sleeps again, as the engine may have asked for another pause meanwhile.
  for (; waitMs > 0 && !signal.aborted; waitMs = backpressure.pauseMs(server)) {
    // Rejects only if the call has ended.
    await clock.sleep(waitMs, signal).catch(() => null);
  }
  return !signal.aborted;
}

/**
 * Migrates the memory of a run from a leaving engine: waits until its predecessors in the migration
 * order are done, copies the memory while the run executes, then stops the run and makes the final
 * copy.
 *
 * @returns null if no engine has capacity, a copy failed or the run's stream has ended. Otherwise
 *   the migration's claim is kept until the run continues, so that no other run takes its capacity.
 */
export async function migrateMemory(
  context: relayContext.RelayContext,
  request: MigrationRequest,
): Promise<ContinuationTarget | null> {
  await waitForPredecessors(context, request);
  const excludedIds = new Set([request.from.id]);
  while (excludedIds.size <= constants.MAX_MIGRATION_TARGETS_COUNT) {
    if (request.streamEnded.aborted) return null;
    const target = await claimTarget(context, request, excludedIds);
    if (target === null) return recordFailure(context, request, "no engine has capacity");
    const handle = await copyTwice(context, request, target);
    if (handle.isOk()) {
      const memory = { memoryAddress: servers.addressOf(request.from), memoryHandle: handle.value };
      return { method: HandoverMethod.Migration, server: target, memory };
    }
    context.dispatcher.releaseClaim(request.requestId, dispatch.ClaimRole.Migration);
    recordFailure(context, request, handle.error.cause);
    if (handle.error.failure !== types.MemoryCopyFailure.NoCapacity) return null;
    excludedIds.add(target.id);
  }
  return null;
}

/**
 * Waits until the predecessors have left the engine, have had enough time to do so, or leave only
 * the time for this run's own transfer.
 */
async function waitForPredecessors(
  context: relayContext.RelayContext,
  { requestId, serviceName, from, need, noticedAtMs, streamEnded }: MigrationRequest,
): Promise<void> {
  const { clock, dispatcher } = context;
  const listPredecessors = (): readonly dispatch.MigratingRun[] =>
    dispatch.listPredecessors(dispatcher.listRunsToMigrate(from.id), requestId);
  const { transferTokensPerMs: statedTokensPerMs } = dispatcher.traitsOf(serviceName) ?? {};
  const tokensPerMs = dispatch.estimateTransferRate(statedTokensPerMs);
  const usedTokens = need.promptTokens + need.producedTokens;
  const waitEndAtMs =
    noticedAtMs +
    Math.min(
      dispatch.computeMaxPredecessorWaitMs(listPredecessors(), tokensPerMs),
      dispatch.computeLatestTransferMs(usedTokens, tokensPerMs),
    );
  while (clock.nowMs() < waitEndAtMs && listPredecessors().length > 0 && !streamEnded.aborted) {
    await clock.sleep(
      Math.min(constants.MIGRATION_ORDER_CHECK_INTERVAL_MS, waitEndAtMs - clock.nowMs()),
    );
  }
}

/** Why a migration failed, and in which of its two copies. */
interface MigrationError {
  readonly failure: types.MemoryCopyFailure;
  readonly cause: string;
}

/**
 * Claims an engine for the run, ahead of all generations that wait; null if none has capacity before
 * the wait limit or the end of the run's stream.
 */
async function claimTarget(
  context: relayContext.RelayContext,
  request: MigrationRequest,
  avoidedIds: ReadonlySet<string>,
): Promise<servers.ServerEntry | null> {
  const { clock, dispatcher } = context;
  const { requestId, serviceName, streamEnded } = request;
  const waitEndAtMs = request.noticedAtMs + constants.MIGRATION_WAIT_LIMIT_MS;
  const othersTargetIds = listOthersTargets(context, request, avoidedIds);
  using scope = new attemptScopes.AttemptScope(clock, waitEndAtMs, {
    callerDisconnected: streamEnded,
  });
  const placed = await dispatcher.place({
    requestId,
    serviceName,
    need: needOf(request),
    role: dispatch.ClaimRole.Migration,
    priority: constants.MIGRATION_PRIORITY,
    expectedRunMs: 0,
    objectiveAtMs: waitEndAtMs,
    deadlineAtMs: waitEndAtMs,
    avoidedIds: new Set([...avoidedIds, ...othersTargetIds]),
    signal: scope.signal,
  });
  return placed.isOk() ? placed.value.server.entry : null;
}

/** What a migrating run requires: it prefers the data centre of its engine to that of its VM. */
function needOf({ need, from }: MigrationRequest): dispatch.GenerationNeed {
  return { ...need, dataCentre: from.dataCentre };
}

/** Lists the targets of other engines that leave too; none where the run's own ones have no capacity. */
function listOthersTargets(
  { clock, directory, dispatcher }: relayContext.RelayContext,
  request: MigrationRequest,
  avoidedIds: ReadonlySet<string>,
): readonly string[] {
  const { requestId, serviceName, from } = request;
  const sinceMs = clock.nowMs() - constants.MIGRATION_COPY_TIMEOUT_MS;
  const leaving = directory
    .listAll()
    .filter(({ entry, leaving: sign }) => sign !== null && entry.serviceName === serviceName)
    .filter(({ entry, leavingSinceMs }) => entry.id === from.id || leavingSinceMs >= sinceMs)
    .map(({ entry }) => ({ serverId: entry.id, dataCentre: entry.dataCentre }));
  const candidates = dispatcher.listCandidates(serviceName, avoidedIds);
  const ownIds = dispatch.divideTargets(leaving, candidates, from.id);
  const own = candidates.filter(({ serverId }) => ownIds.has(serverId));
  const isServed = dispatch.selectMigrationTarget(needOf(request), own, requestId) !== undefined;
  if (!isServed) return [];
  return candidates.flatMap(({ serverId }) => (ownIds.has(serverId) ? [] : [serverId]));
}

/** Copies the memory while the run executes, and again after stopping it; returns the handle. */
async function copyTwice(
  context: relayContext.RelayContext,
  request: MigrationRequest,
  target: servers.ServerEntry,
): Promise<neverthrow.Result<string, MigrationError>> {
  const first = await copyMemory(context, request, target, false);
  if (first.isErr()) return neverthrow.err(createMigrationError(first.error, "first"));
  const change = targetChanges.findTargetChange(context, target);
  if (change !== null) {
    const cause = `before the last copy: ${target.id} ${change}`;
    return neverthrow.err({ failure: types.MemoryCopyFailure.NoCapacity, cause });
  }
  const copying = copyMemory(context, request, target, true);
  const isUnstopped = (failure: types.MemoryCopyFailure): boolean =>
    UNSTOPPED_FAILURES.has(failure);
  const mayBeStopped = copying.then(
    (copied) => copied.isOk() || !isUnstopped(copied.error),
    () => true,
  );
  request.onStopping(mayBeStopped);
  const last = await copying;
  return last
    .map(({ handle }) => handle)
    .mapErr((failure) => createMigrationError(failure, "last"));
}

async function copyMemory(
  { control, clock, log }: relayContext.RelayContext,
  { requestId, from }: MigrationRequest,
  target: servers.ServerEntry,
  stopsRun: boolean,
): Promise<neverthrow.Result<types.CopiedMemory, types.MemoryCopyFailure>> {
  const startedAtMs = clock.nowMs();
  const timeoutMs = constants.MIGRATION_COPY_TIMEOUT_MS;
  const copied = await control.copyRunMemory(from, target, requestId, { stopsRun, timeoutMs });
  log.record(Importance.Notable, LogEvent.MemoryCopied, {
    requestId,
    fromServerId: from.id,
    toServerId: target.id,
    stopsRun,
    outcome: copied.isOk() ? "copied" : copied.error,
    elapsedMs: Math.round(clock.nowMs() - startedAtMs),
  });
  return copied;
}

function createMigrationError(
  failure: types.MemoryCopyFailure,
  copy: "first" | "last",
): MigrationError {
  // Once the run is stopped, its migration is not retried on another engine.
  const isFinal = copy === "last" && failure === types.MemoryCopyFailure.NoCapacity;
  return {
    failure: isFinal ? types.MemoryCopyFailure.NoSuchRun : failure,
    cause: `${copy} copy: ${failure}`,
  };
}

function recordFailure(
  context: relayContext.RelayContext,
  request: MigrationRequest,
  cause: string,
): null {
  context.meters.handovers.inc({ way: HandoverMethod.Migration, outcome: "failed" });
  context.log.record(Importance.Notable, LogEvent.HandoverFailed, {
    requestId: request.requestId,
    fromServerId: request.from.id,
    cause,
    sinceNoticeMs: Math.round(context.clock.nowMs() - request.noticedAtMs),
  });
  return null;
}

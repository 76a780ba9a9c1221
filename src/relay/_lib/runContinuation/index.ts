import * as servers from "../../../servers/index.js";
import * as constants from "../../constants.js";
import type * as relayContext from "../../relayContext.js";
import type * as types from "../../types.js";
import type * as attemptScopes from "../attemptScope/index.js";
import * as endRuns from "../endRun/index.js";
import * as engineStreams from "../engineStream/index.js";
import type * as eventSequences from "../eventSequence/index.js";
import * as handovers from "../handover/index.js";
import * as placeRuns from "../placeRun/index.js";
import * as resumeRuns from "../resumeRun/index.js";
import type * as runClaims from "../runClaims/index.js";
import type * as runLogs from "../runLog/index.js";
import * as sendRecords from "../sendRecord/index.js";
import type * as streamTimings from "../streamTiming/index.js";

/** What a generation has of its own that is needed to continue it. */
interface RunParts {
  readonly claims: runClaims.RunClaims;
  readonly runLog: runLogs.RunLog;
  readonly sequence: eventSequences.EventSequence;
  readonly timing: streamTimings.StreamTiming;
  readonly position: () => runLogs.RunPosition;
}

/** Opens the streams by which a generation goes on at another engine: from its memory, or by a new run. */
export class RunContinuation {
  /** What the sends of the generation have come to. */
  readonly sends = new sendRecords.SendRecord(new Set());
  /** Streams that were closed because the run goes on at another engine. */
  private readonly endedStreams = new WeakSet<engineStreams.EngineStream>();
  /** What ends the run at engines, by their ids; aborted where it goes on again. */
  private readonly endings = new Map<string, AbortController>();
  /** Null until the first stream is open. */
  scope: attemptScopes.AttemptScope | null = null;

  constructor(
    private readonly context: relayContext.RelayContext,
    private readonly call: types.Call,
    private readonly parts: RunParts,
  ) {}

  /** The continuation on the run's backup; null if there is none, or its data centre is evacuated. */
  get backupTarget(): handovers.ContinuationTarget | null {
    const { backup } = this.parts.claims;
    if (backup !== null && this.context.directory.isEvacuated(backup.entry)) return null;
    return handovers.createBackupTarget(backup, this.call.head.id);
  }

  /** Whether a new run may go on after the last event. */
  get canResume(): boolean {
    return resumeRuns.canResume(this.call, this.sends.ranIds);
  }

  /** Describes a new run that goes on after the last event. */
  createStart(scope: attemptScopes.AttemptScope): placeRuns.RunStart {
    const { claims, sequence } = this.parts;
    return { scope, claims, lastEventId: sequence.lastEventId };
  }

  /** Whether the engine of the run's backup wants no request of this VM for a time. */
  get isBackupPaused(): boolean {
    const { backup } = this.parts.claims;
    return backup !== null && this.context.backpressure.pauseMs(backup.entry) > 0;
  }

  /** Waits until the run may continue on an engine; false if that is too late for the call. */
  async awaitTurn(target: handovers.ContinuationTarget): Promise<boolean> {
    const { context, call, scope } = this;
    if (scope === null) return false;
    const { HandoverMethod, reserveContinuation } = handovers;
    const isTurn = await reserveContinuation(context, target, scope.signal, call.deadlineAtMs);
    // The backup's engine may leave meanwhile; a moved run has been stopped, and has no other place.
    return isTurn && (target.method !== HandoverMethod.Backup || this.backupTarget !== null);
  }

  /** Waits until the run may continue on an engine, and continues it. */
  async openInTurn(
    target: handovers.ContinuationTarget,
  ): Promise<engineStreams.EngineStream | null> {
    return (await this.awaitTurn(target)) ? this.open(target) : null;
  }

  /**
   * Continues the run from its memory; it has to be its turn.
   *
   * @param onConnected - called before anything is sent; false ends the attempt
   */
  async open(
    target: handovers.ContinuationTarget,
    onConnected: () => boolean = () => true,
  ): Promise<engineStreams.EngineStream | null> {
    const { context, call, scope } = this;
    const { claims, runLog, sequence, timing } = this.parts;
    if (scope === null) return null;
    const server = context.directory.find(target.server.id)?.entry ?? target.server;
    this.endings.get(server.id)?.abort();
    const backup = claims.selectBackup(server.id, sequence.lastEventId);
    const outcome = await engineStreams.openStream(context, call, {
      server,
      options: () => ({
        server,
        timeLeftMs: call.deadlineAtMs - context.clock.nowMs(),
        priority: placeRuns.priorityOf(call),
        backupAddress: backup === null ? null : servers.addressOf(backup.entry),
        continuation: target.memory,
        lastEventId: sequence.lastEventId,
      }),
      onConnected,
      signal: scope.signal,
    });
    const gapMs = timing.gapMs(context.clock.nowMs());
    runLog.recordContinuation(this.parts.position(), target, outcome, gapMs);
    if (outcome.kind !== engineStreams.OpenKind.Open) return null;
    timing.continuationsCount += 1;
    claims.continueAt(server.id, backup, sequence.lastEventId);
    return outcome.stream;
  }

  /**
   * Continues from the backup while the old stream is still open, and ends the run at its engine once the new one
   * is open, so that the run is not lost if the backup does not exist. The run executes on both engines for little
   * more than `MAX_OVERLAP_MS` at most; duplicate events are dropped by their ids.
   *
   * @param isFinished - whether the old stream has ended with its last event meanwhile
   */
  async switchToBackup(
    stream: engineStreams.EngineStream,
    isFinished: () => boolean,
  ): Promise<engineStreams.EngineStream | null> {
    const target = this.backupTarget;
    if (target === null || !(await this.awaitTurn(target))) return null;
    const end = (): void => this.endAt(stream, target.server);
    const closeTimer = this.context.clock.schedule(constants.MAX_OVERLAP_MS, end);
    const next = await this.open(target, () => !isFinished());
    closeTimer[Symbol.dispose]();
    if (next !== null && isFinished()) next.close();
    else if (next !== null) end();
    return next;
  }

  /** Goes on at another engine after a stream has ended before the run: from the backup, or by a new run. */
  async continueAfter(
    previous: engineStreams.EngineStream,
  ): Promise<engineStreams.EngineStream | null> {
    // A stream that this VM has closed was handed over in vain; the backup is not tried again.
    const target = previous.isClosedLocally ? null : this.backupTarget;
    const continued = target === null ? null : await this.openInTurn(target);
    const next = continued ?? (await this.resume(previous.server, resumeRuns.ResumeCause.Broken));
    if (next !== null) this.endAt(previous, next.server);
    return next;
  }

  /** Closes a stream, and makes sure that the run ends at its engine, as it goes on at another. */
  endAt(stream: engineStreams.EngineStream, nextServer: servers.ServerEntry): void {
    if (this.endedStreams.has(stream)) return;
    this.endedStreams.add(stream);
    const { server } = stream;
    if (!stream.isClosedLocally) stream.close();
    const ending = new AbortController();
    this.endings.set(server.id, ending);
    const { signal } = ending;
    const { id: requestId } = this.call.head;
    void endRuns.endRun(this.context, { requestId, server, nextServer, signal });
  }

  /** Resumes the stream by a new run on another engine, if the route allows it. */
  async resume(
    from: servers.ServerEntry,
    cause: resumeRuns.ResumeCause,
  ): Promise<engineStreams.EngineStream | null> {
    const { call, context, scope } = this;
    const { ranIds } = this.sends;
    const { sequence, timing } = this.parts;
    if (scope === null || !this.canResume) return null;
    const next = await resumeRuns.resumeRun(context, call, {
      start: this.createStart(scope),
      cause,
      fromServerId: from.id,
      ranIds,
      gapMs: () => timing.gapMs(context.clock.nowMs()),
    });
    if (next === null) return null;
    timing.continuationsCount += 1;
    sequence.expectNewRun();
    return next;
  }
}

import * as servers from "../../../servers/index.js";
import * as constants from "../../constants.js";
import type * as relayContext from "../../relayContext.js";
import * as types from "../../types.js";
import * as attemptScopes from "../attemptScope/index.js";
import type * as callSink from "../callSink/index.js";
import * as engineStreams from "../engineStream/index.js";
import * as eventSequences from "../eventSequence/index.js";
import type * as eventSplitter from "../eventSplitter/index.js";
import * as beginHandovers from "../beginHandover/index.js";
import * as failRuns from "../failRun/index.js";
import * as handoverChecks from "../handoverCheck/index.js";
import * as handovers from "../handover/index.js";
import * as resumeRuns from "../resumeRun/index.js";
import * as runContinuations from "../runContinuation/index.js";
import * as runClaims from "../runClaims/index.js";
import * as runLogs from "../runLog/index.js";
import * as streamTimings from "../streamTiming/index.js";
import * as startRuns from "../startRun/index.js";

/**
 * One generation: placed on an engine, forwarded as its events arrive, and continued from its memory
 * on another engine when the first one leaves or fails.
 */
export class GenerationRun implements engineStreams.EventConsumer {
  private readonly claims: runClaims.RunClaims;
  private readonly runLog: runLogs.RunLog;
  private stream: engineStreams.EngineStream | null = null;
  private scope: attemptScopes.AttemptScope | null = null;
  private forwarding: Promise<engineStreams.StreamEnd> | null = null;
  private handover: Promise<engineStreams.EngineStream | null> | null = null;
  private isFinished = false;
  private readonly timing = new streamTimings.StreamTiming();
  private readonly handoverCheck = new handoverChecks.HandoverCheck();
  private readonly sequence: eventSequences.EventSequence;
  private readonly continuation: runContinuations.RunContinuation;
  /** Whether the caller's connection accepts more events at once. */
  private isDrained = true;

  constructor(
    private readonly context: relayContext.RelayContext,
    private readonly call: types.Call,
    private readonly sink: callSink.CallSink,
  ) {
    this.claims = new runClaims.RunClaims(context, call);
    this.runLog = new runLogs.RunLog(context, call);
    this.sequence = new eventSequences.EventSequence(call.head.lastEventId);
    const { claims, runLog, sequence, timing } = this;
    const parts = { claims, runLog, sequence, timing, position: () => this.position };
    this.continuation = new runContinuations.RunContinuation(context, call, parts);
  }

  private get lastEventId(): number {
    return this.sequence.lastEventId;
  }

  get requestId(): string {
    return this.call.head.id;
  }

  /** Id of the server whose stream is forwarded; null before the first stream. */
  get serverId(): string | null {
    return this.stream?.server.id ?? null;
  }

  /** Serves the generation and answers its caller. */
  async run(): Promise<void> {
    const { call, context } = this;
    using scope = new attemptScopes.AttemptScope(context.clock, call.deadlineAtMs, call);
    try {
      await this.serve(scope);
    } finally {
      if (!this.isFinished) this.stream?.close();
      this.claims.releaseAll();
    }
  }

  /** Starts a handover, once, if the run's engine is leaving or unknown and the stream has begun. */
  handOverIfLeaving(): void {
    const { serverId } = this;
    if (serverId === null || this.sequence.awaitsFirstEvent) return;
    if (this.context.directory.find(serverId)?.leaving === null) return;
    if (this.handoverCheck.isDue(serverId, this.context.clock.nowMs()))
      this.beginHandover(handovers.HandoverCause.Leaving);
  }

  handleEvent(event: eventSplitter.StreamEvent): boolean {
    const isFirst = this.sequence.awaitsFirstEvent;
    const order = this.sequence.accept(event);
    if (order !== eventSequences.EventOrder.Next)
      return order === eventSequences.EventOrder.Repeated;
    this.isDrained = this.sink.write(event.bytes);
    this.recordEvent(isFirst);
    return true;
  }

  backpressure(): Promise<void> | null {
    return this.isDrained ? null : this.sink.waitForDrain();
  }

  onSilence(): void {
    this.beginHandover(handovers.HandoverCause.Silent);
  }

  private async serve(scope: attemptScopes.AttemptScope): Promise<void> {
    const started = await startRuns.startRun(this.context, this.call, this.sink, {
      start: this.continuation.createStart(scope),
      sends: this.continuation.sends,
    });
    if (started === null) return;
    this.scope = scope;
    this.continuation.scope = scope;
    let stream: engineStreams.EngineStream | null = (this.stream = started.stream);
    this.sink.startStream(started.head.forwardedHeaders);
    this.timing.start(this.context.clock.nowMs());
    while (stream !== null) {
      this.stream = stream;
      this.timing.restartWindow();
      this.forwarding = stream.forward(this, this.context.clock);
      const end = engineStreams.requireEvents(await this.forwarding, this.lastEventId);
      this.context.meters.streamEnds.inc({ framing: stream.isFramed ? "framed" : "unframed", end });
      if (end === engineStreams.StreamEnd.Complete) {
        this.finish();
        return;
      }
      if (scope.signal.aborted) {
        this.abandon(scope);
        return;
      }
      stream = await this.continueStream(stream, end);
      if (stream === null) this.abortStream(end);
    }
  }

  private recordEvent(isFirst: boolean): void {
    const gapMs = this.timing.recordEvent(this.context.clock.nowMs());
    if (isFirst) this.claims.recordFirstEvent(this.lastEventId);
    if (gapMs !== null) this.context.meters.eventGap.observe(gapMs / 1_000);
    this.handOverIfLeaving();
    if (this.lastEventId % constants.PROGRESS_EVENTS_COUNT === 0) {
      this.claims.recordProgress(this.lastEventId);
    }
    // A caller that reads slowly delays its engine's events.
    if (!this.isDrained) this.timing.restartWindow();
    const window = this.timing.takeWindow(constants.PROGRESS_EVENTS_COUNT);
    if (window !== null && this.stream !== null)
      this.claims.recordWriting(this.stream.server, window);
  }

  private beginHandover(cause: handovers.HandoverCause): void {
    const { stream } = this;
    if (stream === null || this.handover !== null) return;
    this.handover = beginHandovers.beginHandover(this.context, this, cause, stream).then((next) => {
      // A successful handover is kept until the old stream has ended.
      if (next === null) this.handover = null;
      return next;
    });
  }

  /** Hands the run over to its backup, or migrates its memory, unless the run ends soon. */
  async handOverFromLeaving(
    stream: engineStreams.EngineStream,
  ): Promise<engineStreams.EngineStream | null> {
    const { clock } = this.context;
    const nowMs = clock.nowMs();
    const noticedAtMs = this.context.directory.find(stream.server.id)?.leavingSinceMs ?? nowMs;
    const remainingMs = this.claims.estimateRemainingMs(stream.server, this.lastEventId);
    const isStaying = remainingMs < constants.MIN_HANDOVER_REMAINING_MS;
    const isPaused = this.continuation.isBackupPaused && this.claims.canMigrate;
    const hasBackup = this.continuation.backupTarget !== null && !isPaused;
    const method = isStaying ? "stays" : hasBackup ? "backup" : "move";
    this.runLog.recordHandover(this.position, handovers.HandoverCause.Leaving, method, remainingMs);
    if (isStaying) {
      this.handoverCheck.recheckAfter(nowMs, remainingMs);
      return null;
    }
    if (hasBackup) {
      const next = await this.continuation.switchToBackup(stream, () => this.isFinished);
      if (next !== null || stream.isClosedLocally || this.isFinished) return next;
      // Runs of other VMs wait for this one only when they know that it has no backup.
      this.claims.releaseBackup();
      await clock.sleep(constants.CLAIM_UPDATE_DELAY_MS);
    }
    if (!this.claims.canMigrate) return null;
    const migrated = await this.migrate(stream, noticedAtMs);
    if (migrated === null) this.handoverCheck.recheckAfter(clock.nowMs(), 0);
    return migrated;
  }

  /** Hands the run over to its backup, or resumes it, if its engine is silent and cannot be connected to. */
  async handOverFromSilent(
    stream: engineStreams.EngineStream,
  ): Promise<engineStreams.EngineStream | null> {
    const hasBackup = this.continuation.backupTarget !== null;
    const { canResume } = this.continuation;
    if (this.scope === null || (!hasBackup && !canResume)) return null;
    const { requestId, scope } = this;
    const target = { requestId, signal: scope.signal };
    const isReachable = await this.context.connector.isReachable(stream.server, target);
    if (isReachable) return null;
    const method = hasBackup ? "backup" : "resume";
    this.runLog.recordHandover(this.position, handovers.HandoverCause.Silent, method, 0);
    const isFinished = (): boolean => this.isFinished;
    const next = hasBackup ? await this.continuation.switchToBackup(stream, isFinished) : null;
    if (next !== null || stream.isClosedLocally || this.isFinished || !canResume) return next;
    // Closed first, so that the generation does not run on two engines at a time.
    stream.close();
    const resumed = await this.continuation.resume(stream.server, resumeRuns.ResumeCause.Silent);
    if (resumed !== null) this.continuation.endAt(stream, resumed.server);
    return resumed;
  }

  private async migrate(
    stream: engineStreams.EngineStream,
    noticedAtMs: number,
  ): Promise<engineStreams.EngineStream | null> {
    const streamEnded = new AbortController();
    const onEnded = (): void => streamEnded.abort();
    this.forwarding?.then(onEnded, onEnded);
    const target = await handovers.migrateMemory(this.context, {
      requestId: this.requestId,
      serviceName: this.call.serviceName,
      from: stream.server,
      need: this.claims.createContinuationNeed(this.lastEventId),
      noticedAtMs,
      streamEnded: streamEnded.signal,
      onStopping: (mayBeStopped) => stream.expectStop(mayBeStopped),
    });
    if (target === null) return null;
    // The engine has stopped the run and closes the stream after its last event.
    const closeTimer = this.context.clock.schedule(constants.STOPPED_STREAM_CLOSE_TIMEOUT_MS, () =>
      stream.close(),
    );
    const end = await this.forwarding;
    closeTimer[Symbol.dispose]();
    const isComplete = end === engineStreams.StreamEnd.Complete;
    const next = isComplete ? null : await this.continuation.openInTurn(target);
    this.claims.releaseMigration();
    return next;
  }

  private async continueStream(
    previous: engineStreams.EngineStream,
    end: engineStreams.StreamEnd,
  ): Promise<engineStreams.EngineStream | null> {
    const { handover } = this;
    if (end === engineStreams.StreamEnd.Truncated && handover === null) {
      this.context.trust.recordOutcome(previous.server, servers.AttemptVerdict.Broken, 0);
    }
    const next = handover === null ? null : await handover;
    this.handover = null;
    return next ?? this.continuation.continueAfter(previous);
  }

  private finish(): void {
    this.isFinished = true;
    this.sink.end();
    this.claims.recordOutputLength(this.lastEventId);
    this.runLog.recordServed(this.position, this.timing);
  }

  private abandon(scope: attemptScopes.AttemptScope): void {
    this.runLog.recordAbandoned(this.position, scope.isTimedOut);
    this.failWith(types.RefusalReason.TimedOut);
  }

  private abortStream(end: engineStreams.StreamEnd): void {
    this.runLog.recordBroken(this.position, end, this.claims.backup !== null);
    this.failWith(types.RefusalReason.OutcomeUnknown);
  }

  private failWith(reason: types.RefusalReason): void {
    const failure = { sends: this.continuation.sends, reason, position: this.position };
    failRuns.failRun(this.context, this.call, this.sink, failure);
  }

  private get position(): runLogs.RunPosition {
    return { serverId: this.serverId, lastEventId: this.lastEventId };
  }
}

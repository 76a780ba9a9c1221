import * as dispatch from "../../../dispatch/index.js";
import * as servers from "../../../servers/index.js";
import * as constants from "../../constants.js";
import type * as relayContext from "../../relayContext.js";
import * as types from "../../types.js";
import * as attemptScopes from "../attemptScope/index.js";
import type * as callSink from "../callSink/index.js";
import * as engineStreams from "../engineStream/index.js";
import type * as eventSplitter from "../eventSplitter/index.js";
import * as handovers from "../handover/index.js";
import * as openAttempts from "../openAttempt/index.js";
import * as runClaims from "../runClaims/index.js";
import * as runLogs from "../runLog/index.js";
import * as streamPaces from "../streamPace/index.js";
import * as startRuns from "../startRun/index.js";

/** Events after which the claims of a run are brought up to date. */
const PROGRESS_EVENTS_COUNT = 8;

type Handover = (
  run: GenerationRun,
  stream: engineStreams.EngineStream,
) => Promise<engineStreams.EngineStream | null>;

const HANDOVERS: Readonly<Record<handovers.HandoverCause, Handover>> = {
  [handovers.HandoverCause.Leaving]: (run, stream) => run.leave(stream),
  [handovers.HandoverCause.Silent]: (run, stream) => run.leaveSilent(stream),
};

/**
 * One generation: placed on an engine, forwarded as its events arrive, and carried on from its
 * memory at another engine when the first one leaves or dies.
 */
export class GenerationRun implements engineStreams.EventConsumer {
  private readonly claims: runClaims.RunClaims;
  private readonly runLog: runLogs.RunLog;
  private stream: engineStreams.EngineStream | null = null;
  private scope: attemptScopes.AttemptScope | null = null;
  private forwarding: Promise<engineStreams.StreamEnd> | null = null;
  private handover: Promise<engineStreams.EngineStream | null> | null = null;
  private isFinished = false;
  private readonly pace = new streamPaces.StreamPace();
  /** The server on which it was decided whether the run stays, so that it is decided once. */
  private decidedServerId: string | null = null;
  private lastEventId = 0;
  private isDrained = true;

  constructor(
    private readonly context: relayContext.RelayContext,
    private readonly call: types.Call,
    private readonly sink: callSink.CallSink,
  ) {
    this.claims = new runClaims.RunClaims(context, call);
    this.runLog = new runLogs.RunLog(context, call);
  }

  /** The server that the run is on, once it has answered. */
  get serverId(): string | null {
    return this.stream?.server.id ?? null;
  }

  /** Serves the generation and answers its caller. */
  async run(): Promise<void> {
    const { clock } = this.context;
    using scope = new attemptScopes.AttemptScope(
      clock,
      this.call.deadlineAtMs,
      this.call.callerGone,
    );
    try {
      await this.runWithin(scope);
    } finally {
      this.claims.releaseAll();
    }
  }

  /** If the run's engine leaves, carries the run on elsewhere unless it ends soon. */
  checkLeaving(): void {
    const { serverId } = this;
    if (serverId === null || this.lastEventId === 0 || this.decidedServerId === serverId) return;
    if (this.context.directory.find(serverId)?.leaving === null) return;
    this.decidedServerId = serverId;
    this.beginHandover(handovers.HandoverCause.Leaving);
  }

  take(event: eventSplitter.StreamEvent): boolean {
    if (event.id === null) return false;
    if (event.id <= this.lastEventId) return true;
    if (event.id !== this.lastEventId + 1) return false;
    const isFirst = this.lastEventId === 0;
    this.lastEventId = event.id;
    this.isDrained = this.sink.write(event.bytes);
    this.noteEvent(isFirst);
    return true;
  }

  backpressure(): Promise<void> | null {
    return this.isDrained ? null : this.sink.drained();
  }

  onSilence(): void {
    this.beginHandover(handovers.HandoverCause.Silent);
  }

  private async runWithin(scope: attemptScopes.AttemptScope): Promise<void> {
    const started = await startRuns.startRun(this.context, this.call, this.sink, {
      scope,
      claims: this.claims,
    });
    if (started === null) return;
    this.scope = scope;
    this.sink.beginStream(started.head.forwardedHeaders);
    this.pace.begin(this.context.clock.nowMs());
    let stream: engineStreams.EngineStream | null = started.stream;
    while (stream !== null) {
      this.stream = stream;
      this.forwarding = stream.forward(this, this.context.clock);
      const end = await this.forwarding;
      if (end === engineStreams.StreamEnd.Whole) {
        this.finishWhole();
        return;
      }
      if (scope.signal.aborted) {
        this.abandon(scope);
        return;
      }
      stream = await this.carryOn(stream, end);
      if (stream === null) this.breakOff(end);
    }
  }

  private noteEvent(isFirst: boolean): void {
    const gapMs = this.pace.noteEvent(this.context.clock.nowMs());
    if (isFirst) this.claims.noteFirstEvent();
    if (gapMs !== null) this.context.meters.eventGap.observe(gapMs / 1_000);
    this.checkLeaving();
    if (this.lastEventId % PROGRESS_EVENTS_COUNT === 0) {
      this.claims.noteProgress(this.lastEventId);
    }
  }

  private beginHandover(cause: handovers.HandoverCause): void {
    const { stream } = this;
    if (stream === null || this.handover !== null) return;
    const handover = HANDOVERS[cause](this, stream).then((next) => {
      // A stream that goes on stays here until the old one has ended.
      if (next === null) this.handover = null;
      return next;
    });
    this.handover = handover;
  }

  /** Leaves an engine that will be gone: over the run's copy, or by moving its memory. */
  async leave(stream: engineStreams.EngineStream): Promise<engineStreams.EngineStream | null> {
    const { clock } = this.context;
    const noticedAtMs = clock.nowMs();
    const restMs = this.claims.restTokens(this.lastEventId) * dispatch.TOKEN_MS;
    const isStaying = restMs < constants.STAY_LIMIT_MS;
    const hasBackup = this.backupTarget() !== null;
    const way = isStaying ? "stays" : hasBackup ? "backup" : "move";
    this.runLog.handoverStarted(this.position, handovers.HandoverCause.Leaving, way, restMs);
    if (isStaying) return null;
    if (hasBackup) {
      const next = await this.switchToBackup(stream);
      if (next !== null || stream.isClosedHere || this.isFinished) return next;
    }
    return this.claims.canMove ? this.moveOff(stream, noticedAtMs) : null;
  }

  /** Leaves an engine that has fallen silent and cannot be reached, if the copy's engine can. */
  async leaveSilent(
    stream: engineStreams.EngineStream,
  ): Promise<engineStreams.EngineStream | null> {
    if (this.scope === null || this.backupTarget() === null) return null;
    const isReachable = await openAttempts.isReachable(stream.server.host, stream.server.port, {
      connectTimeoutMs: constants.CONNECT_TIMEOUT_MS,
      signal: this.scope.signal,
    });
    if (isReachable) return null;
    this.runLog.handoverStarted(this.position, handovers.HandoverCause.Silent, "backup", 0);
    return this.switchToBackup(stream);
  }

  /**
   * Goes on from the copy while the old stream still runs, which is closed once the new one is
   * there, so that nothing is lost where the copy is not. Both run for a moment; events that come
   * twice are told apart by their ids.
   */
  private async switchToBackup(
    stream: engineStreams.EngineStream,
  ): Promise<engineStreams.EngineStream | null> {
    const target = this.backupTarget();
    if (target === null) return null;
    const { clock } = this.context;
    const closing = clock.schedule(constants.MAX_OVERLAP_MS, () => stream.close());
    const next = await this.openContinuation(target, () => !this.isFinished);
    closing[Symbol.dispose]();
    if (next !== null && this.isFinished) next.close();
    else if (next !== null) stream.close();
    return next;
  }

  private async moveOff(
    stream: engineStreams.EngineStream,
    noticedAtMs: number,
  ): Promise<engineStreams.EngineStream | null> {
    const ended = new AbortController();
    void this.forwarding?.then(() => ended.abort());
    const target = await handovers.moveMemory(this.context, {
      requestId: this.call.head.id,
      serviceName: this.call.serviceName,
      from: stream.server,
      need: this.claims.continuationNeed(this.lastEventId),
      noticedAtMs,
      ended: ended.signal,
    });
    if (target === null) return null;
    // The engine has stopped the run and closes the stream behind its last event.
    const closing = this.context.clock.schedule(constants.STOPPED_STREAM_MS, () => stream.close());
    const end = await this.forwarding;
    closing[Symbol.dispose]();
    const isWhole = end === engineStreams.StreamEnd.Whole;
    const next = isWhole ? null : await this.openContinuation(target, () => true);
    this.claims.releaseMove();
    return next;
  }

  private backupTarget(): handovers.ContinuationTarget | null {
    return handovers.backupTarget(this.claims.backup, this.call.head.id);
  }

  private async carryOn(
    former: engineStreams.EngineStream,
    end: engineStreams.StreamEnd,
  ): Promise<engineStreams.EngineStream | null> {
    const { handover } = this;
    if (end === engineStreams.StreamEnd.CutOff && handover === null) {
      this.context.trust.note(former.server, servers.AttemptVerdict.Broken, 0);
    }
    const next = handover === null ? null : await handover;
    this.handover = null;
    if (next !== null || former.isClosedHere) return next;
    const target = this.backupTarget();
    return target === null ? null : this.openContinuation(target, () => true);
  }

  private async openContinuation(
    target: handovers.ContinuationTarget,
    onConnected: () => boolean,
  ): Promise<engineStreams.EngineStream | null> {
    const { context, call, scope } = this;
    if (scope === null) return null;
    const server = context.directory.find(target.server.id)?.entry ?? target.server;
    const backup = this.claims.chooseBackup(server.id, this.lastEventId);
    const outcome = await engineStreams.openStream(context.codec, call, {
      server,
      options: () => ({
        server,
        timeLeftMs: call.deadlineAtMs - context.clock.nowMs(),
        priority: startRuns.priorityOf(call),
        backupAddress: backup === null ? null : servers.addressOf(backup.entry),
        continuation: { ...target.memory, lastEventId: this.lastEventId },
      }),
      onConnected,
      signal: scope.signal,
    });
    const gapMs = this.pace.gapMs(context.clock.nowMs());
    this.runLog.carriedOn(this.position, target, outcome, gapMs);
    if (outcome.kind !== engineStreams.OpenKind.Open) return null;
    this.pace.carriedCount += 1;
    this.claims.moveTo(server.id, backup, this.lastEventId);
    return outcome.stream;
  }

  private finishWhole(): void {
    this.isFinished = true;
    this.sink.end();
    this.claims.noteOutputLength(this.lastEventId);
    this.runLog.served(this.position, this.pace);
  }

  private abandon(scope: attemptScopes.AttemptScope): void {
    this.runLog.abandoned(this.position, scope.isTimedOut);
    this.sink.breakOff();
  }

  private breakOff(end: engineStreams.StreamEnd): void {
    this.runLog.broken(this.position, end, this.claims.backup !== null);
    this.sink.breakOff();
  }

  private get position(): runLogs.RunPosition {
    return { serverId: this.serverId, lastEventId: this.lastEventId };
  }
}

import * as diagnostics from "../../../diagnostics/index.js";
import * as servers from "../../../servers/index.js";
import * as constants from "../../constants.js";
import type * as relayContext from "../../relayContext.js";
import * as types from "../../types.js";
import * as attemptScopes from "../attemptScope/index.js";
import type * as callSink from "../callSink/index.js";
import * as engineStreams from "../engineStream/index.js";
import type * as eventSplitter from "../eventSplitter/index.js";
import * as handovers from "../handover/index.js";
import * as runClaims from "../runClaims/index.js";
import * as startRuns from "../startRun/index.js";

const { Importance, LogEvent } = diagnostics;

/** Events after which the claims of a run are brought up to date. */
const PROGRESS_EVENTS_COUNT = 8;

/**
 * One generation: placed on an engine, forwarded as its events arrive, and carried on from its
 * memory at another engine when the first one leaves or dies.
 */
export class GenerationRun implements engineStreams.EventConsumer {
  private readonly claims: runClaims.RunClaims;
  private stream: engineStreams.EngineStream | null = null;
  private handover: handovers.Handover | null = null;
  /** The server on which it was decided whether the run stays, so that it is decided once. */
  private decidedServerId: string | null = null;
  private lastEventId = 0;
  private lastEventAtMs = 0;
  private isDrained = true;
  private carriedCount = 0;

  constructor(
    private readonly context: relayContext.RelayContext,
    private readonly call: types.Call,
    private readonly sink: callSink.CallSink,
  ) {
    this.claims = new runClaims.RunClaims(context, call);
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
    this.beginHandover("leaving");
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
    if (this.claims.backup !== null) this.beginHandover("silent");
  }

  private async runWithin(scope: attemptScopes.AttemptScope): Promise<void> {
    const started = await startRuns.startRun(this.context, this.call, this.sink, {
      scope,
      claims: this.claims,
    });
    if (started === null) return;
    this.stream = started.stream;
    this.sink.beginStream(started.head.forwardedHeaders);
    this.lastEventAtMs = this.context.clock.nowMs();
    for (;;) {
      const end = await this.stream.forward(this, this.context.clock);
      if (end === engineStreams.StreamEnd.Whole) {
        this.finishWhole();
        return;
      }
      if (scope.signal.aborted) {
        this.abandon(scope);
        return;
      }
      const next = await this.carryOn(end, scope);
      if (next === null) {
        this.breakOff(end);
        return;
      }
      this.stream = next;
    }
  }

  private noteEvent(isFirst: boolean): void {
    const { clock, meters } = this.context;
    const nowMs = clock.nowMs();
    if (isFirst) {
      this.claims.noteFirstEvent();
    } else {
      meters.eventGap.observe((nowMs - this.lastEventAtMs) / 1_000);
    }
    this.lastEventAtMs = nowMs;
    this.checkLeaving();
    if (this.lastEventId % PROGRESS_EVENTS_COUNT === 0) {
      this.claims.noteProgress(this.lastEventId);
    }
  }

  private beginHandover(cause: "leaving" | "silent"): void {
    const { stream } = this;
    if (stream === null || this.handover !== null) return;
    const restMs = this.claims.restTokens(this.lastEventId) * constants.TOKEN_MS;
    this.handover = handovers.beginHandover(this.context, {
      requestId: this.call.head.id,
      cause,
      stream,
      restMs,
      lastEventId: this.lastEventId,
      need: this.claims.continuationNeed(this.lastEventId),
      serviceName: this.call.serviceName,
      backup: this.claims.backup,
    });
  }

  private async carryOn(
    end: engineStreams.StreamEnd,
    scope: attemptScopes.AttemptScope,
  ): Promise<engineStreams.EngineStream | null> {
    const former = this.stream?.server;
    if (former === undefined) return null;
    if (end === engineStreams.StreamEnd.CutOff && this.handover === null) {
      this.context.trust.note(former.id, servers.AttemptVerdict.Broken, 0);
    }
    const targets = await handovers.continuationTargets(
      this.handover,
      this.claims.backup,
      this.call.head.id,
    );
    this.handover = null;
    for (const target of targets) {
      const stream = await this.openContinuation(target, scope);
      if (stream !== null) return stream;
      if (scope.signal.aborted) return null;
    }
    return null;
  }

  private async openContinuation(
    target: handovers.ContinuationTarget,
    scope: attemptScopes.AttemptScope,
  ): Promise<engineStreams.EngineStream | null> {
    const { context, call } = this;
    const server = context.directory.find(target.server.id)?.entry ?? target.server;
    this.claims.moveTo(server.id, this.lastEventId);
    const options: types.AttemptOptions = {
      server,
      timeLeftMs: call.deadlineAtMs - context.clock.nowMs(),
      priority: startRuns.priorityOf(call),
      backupAddress: this.claims.claimBackup(server.id, this.lastEventId),
      continuation: {
        memoryAddress: target.memoryAddress,
        memoryHandle: target.memoryHandle,
        lastEventId: this.lastEventId,
      },
    };
    const outcome = await engineStreams.openStream(context.codec, call, options, scope.signal);
    const isOpen = outcome.kind === engineStreams.OpenKind.Open;
    context.meters.handovers.inc({ way: target.way, outcome: outcome.kind });
    context.log.record(Importance.Notable, LogEvent.CarriedOn, {
      requestId: call.head.id,
      way: target.way,
      outcome: outcome.kind,
      cause: "cause" in outcome ? outcome.cause : null,
      serverId: server.id,
      lastEventId: this.lastEventId,
      gapMs: Math.round(context.clock.nowMs() - this.lastEventAtMs),
    });
    if (!isOpen) return null;
    this.carriedCount += 1;
    return outcome.stream;
  }

  private finishWhole(): void {
    this.sink.end();
    this.claims.noteOutputLength(this.lastEventId);
    this.context.log.record(Importance.Routine, LogEvent.RequestServed, {
      requestId: this.call.head.id,
      route: this.call.route.name,
      serverId: this.serverId,
      eventsCount: this.lastEventId,
      carriedCount: this.carriedCount,
      elapsedMs: Math.round(this.context.clock.nowMs() - this.call.arrivedAtMs),
    });
  }

  private abandon(scope: attemptScopes.AttemptScope): void {
    const event = scope.isTimedOut ? LogEvent.StreamBroken : LogEvent.CallerGone;
    this.context.log.record(Importance.Notable, event, {
      requestId: this.call.head.id,
      cause: scope.isTimedOut ? "deadline" : "caller closed the connection",
      serverId: this.serverId,
      lastEventId: this.lastEventId,
    });
    this.sink.breakOff();
  }

  private breakOff(end: engineStreams.StreamEnd): void {
    const serverId = this.serverId;
    const leaving = serverId === null ? null : this.context.directory.find(serverId)?.leaving;
    this.context.log.record(Importance.Notable, LogEvent.StreamBroken, {
      requestId: this.call.head.id,
      cause: end,
      serverId,
      serverLeaving: leaving ?? null,
      lastEventId: this.lastEventId,
      hadBackup: this.claims.backup !== null,
    });
    this.sink.breakOff();
  }
}

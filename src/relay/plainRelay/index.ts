import * as diagnostics from "../../diagnostics/index.js";
import * as dispatch from "../../dispatch/index.js";
import * as routing from "../../routing/index.js";
import * as servers from "../../servers/index.js";
import * as answerRefusals from "../_lib/answerRefusal/index.js";
import * as attemptScopes from "../_lib/attemptScope/index.js";
import type * as callSink from "../_lib/callSink/index.js";
import * as refusals from "../_lib/createRefusal/index.js";
import * as sends from "../_lib/sendBuffered/index.js";
import * as constants from "../constants.js";
import type * as relayContext from "../relayContext.js";
import * as types from "../types.js";

const { Importance, LogEvent } = diagnostics;

/**
 * Relays calls to plain servers. A call that a server did not execute may be sent to another one;
 * only idempotent calls are also retried after failures, or hedged.
 */
export class PlainRelay {
  private readonly pendingCounts = new Map<string, number>();

  constructor(private readonly context: relayContext.RelayContext) {}

  /** Serves a call and answers its caller; resolves when the answer was given. */
  async relay(call: types.Call, sink: callSink.CallSink): Promise<void> {
    using scope = new attemptScopes.AttemptScope(
      this.context.clock,
      call.deadlineAtMs,
      call.callerDisconnected,
    );
    await new PlainCall(this.context, this.pendingCounts, call, sink, scope).run();
  }
}

/** One call in progress. Up to two of its attempts may be pending at a time. */
class PlainCall {
  private readonly triedIds = new Set<string>();
  /** Servers that may have executed the call; the route bounds their number. */
  private readonly possiblyRanIds = new Set<string>();
  private readonly isIdempotent: boolean;
  private readonly maxServersCount: number;
  private sendsCount = 0;
  private pendingCount = 0;
  private lastAnswer: sends.BufferedAnswer | null = null;
  private mayHaveRun = false;
  private hedgeTimer: Disposable | null = null;
  private settle: () => void = () => undefined;
  private isSettled = false;

  constructor(
    private readonly context: relayContext.RelayContext,
    private readonly pendingCounts: Map<string, number>,
    private readonly call: types.Call,
    private readonly sink: callSink.CallSink,
    private readonly scope: attemptScopes.AttemptScope,
  ) {
    this.isIdempotent = call.route.kind === routing.RouteKind.Idempotent;
    this.maxServersCount = this.isIdempotent ? Math.max(1, call.route.maxServersCount) : 1;
  }

  async run(): Promise<void> {
    const finished = new Promise<void>((resolve) => {
      this.settle = resolve;
    });
    this.scope.signal.addEventListener("abort", () => this.onAborted(), { once: true });
    this.send();
    this.scheduleHedge();
    await finished;
    this.hedgeTimer?.[Symbol.dispose]();
  }

  private send(): void {
    const server = this.selectServer();
    if (server === undefined) {
      if (this.pendingCount > 0) return;
      if (this.lastAnswer !== null) this.forwardAnswer(this.lastAnswer);
      else this.finishWithoutAnswer(types.RefusalReason.NoServer);
      return;
    }
    this.sendsCount += 1;
    this.pendingCount += 1;
    void this.sendTo(server.entry);
  }

  private async sendTo(server: servers.ServerEntry): Promise<void> {
    const { context, call } = this;
    const startedAtMs = context.clock.nowMs();
    this.triedIds.add(server.id);
    this.possiblyRanIds.add(server.id);
    this.changePendingCount(server.id, 1);
    context.log.record(Importance.Routine, LogEvent.RequestPlaced, {
      requestId: call.head.id,
      route: call.route.name,
      account: call.account?.name,
      serverId: server.id,
      pendingCount: this.pendingCounts.get(server.id) ?? 0,
      failureRatio: Number(context.trust.failureRatio(server.id).toFixed(2)),
      sendsCount: this.sendsCount,
    });
    const timeLeftMs = call.deadlineAtMs - startedAtMs;
    const options = { server, timeLeftMs, priority: null, backupAddress: null, continuation: null };
    const outcome = await sends.sendBuffered(context, call, options, this.scope.signal);
    this.changePendingCount(server.id, -1);
    this.pendingCount -= 1;
    if (this.isSettled || this.scope.signal.aborted) return;
    this.recordOutcome(server, outcome, context.clock.nowMs() - startedAtMs);
    HANDLER_BY_OUTCOME[outcome.kind](this, outcome as never, server);
  }

  /** Handles a complete answer: forwards it, or retries an idempotent call if it is a failure. */
  onAnswered(answer: sends.BufferedAnswer): void {
    this.mayHaveRun = true;
    this.lastAnswer = answer;
    const isServed = sends.verdictOf(answer) === servers.AttemptVerdict.Served;
    if (isServed || !this.isIdempotent) this.forwardAnswer(answer);
    else this.retryOrFinish();
  }

  /** Handles an attempt that the server did not execute: another server may be tried. */
  onNotRun(outcome: sends.NotRun, server: servers.ServerEntry): void {
    this.possiblyRanIds.delete(server.id);
    if (outcome.isOtherServer) this.markServerReplaced(server);
    this.retryOrFinish(outcome.wasSent);
  }

  /** Handles an attempt with an unknown outcome: only an idempotent call is retried. */
  onUnknown(): void {
    this.mayHaveRun = true;
    if (this.isIdempotent) this.retryOrFinish();
    else if (this.pendingCount === 0) this.finishWithoutAnswer(types.RefusalReason.OutcomeUnknown);
  }

  /** Retries the call, or finishes it. A retry of an unsent attempt does not use the retry budget. */
  private retryOrFinish(wasSent = true): void {
    if (this.pendingCount > 0) return;
    const maxCount = wasSent ? constants.MAX_SENDS_COUNT : constants.MAX_TRIES_COUNT;
    const canSend = this.sendsCount < maxCount;
    if (canSend && (!wasSent || this.consumeRetry())) {
      this.send();
      return;
    }
    if (this.lastAnswer !== null) this.forwardAnswer(this.lastAnswer);
    else this.finishWithoutAnswer(types.RefusalReason.ServersRefused);
  }

  private consumeRetry(): boolean {
    const { context, call } = this;
    const isAllowed = context.budget.tryConsume(call.serviceName);
    const decision = isAllowed ? "allowed" : "denied";
    context.meters.repeats.inc({ service: call.serviceName, decision });
    if (!isAllowed) {
      context.log.record(Importance.Notable, LogEvent.RepeatDenied, {
        requestId: call.head.id,
        service: call.serviceName,
        remainingCount: Math.round(context.budget.countRemainingRetries(call.serviceName)),
      });
    }
    return isAllowed;
  }

  private selectServer(): servers.KnownServer | undefined {
    const { context, call } = this;
    const available = context.directory.listAvailable(call.serviceName);
    const reachable = available.filter(({ entry }) => !context.trust.isSuspended(entry.id));
    const selectable = reachable.length > 0 ? reachable : available;
    const canUseNewServer = this.possiblyRanIds.size < this.maxServersCount;
    const allowed = canUseNewServer
      ? selectable
      : selectable.filter(({ entry }) => this.possiblyRanIds.has(entry.id));
    const candidates = allowed.map(({ entry }): dispatch.PlainCandidate => {
      return {
        serverId: entry.id,
        dataCentre: entry.dataCentre,
        pendingCount: this.pendingCounts.get(entry.id) ?? 0,
        failureRatio: context.trust.failureRatio(entry.id),
        typicalMs: context.trust.typicalMs(entry.id),
        isPartitioned: context.trust.isPartitionSuspected(entry.dataCentre),
      };
    });
    const chosen = dispatch.selectPlainServer(candidates, {
      dataCentre: context.dataCentre,
      avoidedIds: this.triedIds,
      failureWeight: this.isIdempotent
        ? constants.IDEMPOTENT_FAILURE_WEIGHT
        : constants.ONCE_ONLY_FAILURE_WEIGHT,
      random: context.random,
    });
    return chosen && context.directory.find(chosen.serverId);
  }

  private scheduleHedge(): void {
    if (!this.isIdempotent || this.maxServersCount < 2) return;
    const delayMs = constants.HEDGE_OBJECTIVE_RATIO * this.call.route.objectiveMs;
    this.hedgeTimer = this.context.clock.schedule(delayMs, () => {
      if (this.isSettled || this.pendingCount !== 1) return;
      if (this.sendsCount >= constants.MAX_SENDS_COUNT || !this.consumeRetry()) return;
      this.context.log.record(Importance.Routine, LogEvent.Hedged, {
        requestId: this.call.head.id,
        afterMs: Math.round(delayMs),
      });
      this.send();
    });
  }

  private forwardAnswer(answer: sends.BufferedAnswer): void {
    if (this.isSettled) return;
    const { head, body, serverId } = answer;
    this.sink.answer(head.status, head.forwardedHeaders, body);
    const isServed = sends.verdictOf(answer) === servers.AttemptVerdict.Served;
    const importance = isServed ? Importance.Routine : Importance.Notable;
    const event = isServed ? LogEvent.RequestServed : LogEvent.RequestFailed;
    this.context.log.record(importance, event, {
      requestId: this.call.head.id,
      route: this.call.route.name,
      serverId,
      status: head.status,
      sendsCount: this.sendsCount,
      elapsedMs: Math.round(this.context.clock.nowMs() - this.call.arrivedAtMs),
    });
    this.finish();
  }

  private finishWithoutAnswer(reason: types.RefusalReason): void {
    if (this.isSettled) return;
    const reportedReason = this.mayHaveRun ? types.RefusalReason.OutcomeUnknown : reason;
    const retryAfterMs =
      refusals.createRefusal(reportedReason).status === 503
        ? constants.DEFAULT_RETRY_AFTER_MS
        : null;
    this.refuse(refusals.createRefusal(reportedReason, retryAfterMs));
  }

  private onAborted(): void {
    if (this.isSettled) return;
    if (!this.scope.isTimedOut) {
      this.context.log.record(Importance.Notable, LogEvent.CallerGone, {
        requestId: this.call.head.id,
        sendsCount: this.sendsCount,
        elapsedMs: Math.round(this.context.clock.nowMs() - this.call.arrivedAtMs),
      });
      this.finish();
      return;
    }
    const wasSent = this.mayHaveRun || this.pendingCount > 0;
    const reason = wasSent ? types.RefusalReason.TimedOut : types.RefusalReason.TimedOutNotRun;
    this.refuse(refusals.createRefusal(reason));
  }

  private refuse(refusal: types.Refusal): void {
    const { sendsCount } = this;
    answerRefusals.answerRefusal(this.context, this.call, this.sink, refusal, { sendsCount });
    this.finish();
  }

  private finish(): void {
    this.isSettled = true;
    this.settle();
  }

  private recordOutcome(
    server: servers.ServerEntry,
    outcome: sends.SendOutcome,
    elapsedMs: number,
  ): void {
    const { context, call } = this;
    const verdict = sends.verdictOf(outcome);
    context.trust.recordOutcome(server, verdict, elapsedMs);
    context.meters.attempts.inc({ service: call.serviceName, outcome: verdict });
    if (verdict === servers.AttemptVerdict.Served) return;
    context.log.record(Importance.Notable, LogEvent.AttemptEnded, {
      requestId: call.head.id,
      serverId: server.id,
      verdict,
      status: outcome.kind === sends.SendKind.Answered ? outcome.head.status : null,
      cause: outcome.kind === sends.SendKind.Answered ? null : outcome.cause,
      failureRatio: Number(context.trust.failureRatio(server.id).toFixed(2)),
      elapsedMs: Math.round(elapsedMs),
    });
  }

  private markServerReplaced(server: servers.ServerEntry): void {
    this.context.directory.markLeaving(server.id, servers.LeavingReason.ReplacedAtAddress);
  }

  private changePendingCount(serverId: string, change: 1 | -1): void {
    const count = (this.pendingCounts.get(serverId) ?? 0) + change;
    if (count > 0) this.pendingCounts.set(serverId, count);
    else this.pendingCounts.delete(serverId);
  }
}

type Handler = (call: PlainCall, outcome: never, server: servers.ServerEntry) => void;

const HANDLER_BY_OUTCOME: Readonly<Record<sends.SendKind, Handler>> = {
  [sends.SendKind.Answered]: (call, outcome: sends.BufferedAnswer) => call.onAnswered(outcome),
  [sends.SendKind.NotRun]: (call, outcome: sends.NotRun, server) => call.onNotRun(outcome, server),
  [sends.SendKind.Unknown]: (call) => call.onUnknown(),
};

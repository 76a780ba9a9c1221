import * as diagnostics from "../../../diagnostics/index.js";
import * as dispatch from "../../../dispatch/index.js";
import * as routing from "../../../routing/index.js";
import * as servers from "../../../servers/index.js";
import * as answerRefusals from "../answerRefusal/index.js";
import * as attemptScopes from "../attemptScope/index.js";
import type * as callSink from "../callSink/index.js";
import * as consumeRetries from "../consumeRetry/index.js";
import * as refusals from "../createRefusal/index.js";
import * as plainAttempts from "../recordPlainAttempt/index.js";
import * as unplacedCalls from "../refuseUnplaced/index.js";
import * as plainTargets from "../selectPlainTarget/index.js";
import * as sends from "../sendBuffered/index.js";
import * as constants from "../../constants.js";
import type * as relayContext from "../../relayContext.js";
import * as types from "../../types.js";

const { Importance, LogEvent } = diagnostics;

/** One call in progress. Up to two of its attempts may be pending at a time. */
export class PlainCall {
  private readonly triedIds = new Set<string>();
  /** Servers that may have executed the call; the route bounds their number. */
  private readonly possiblyRanIds = new Set<string>();
  private readonly isIdempotent: boolean;
  private readonly maxServersCount: number;
  private sendsCount = 0;
  private pendingCount = 0;
  private endedServersCount = 0;
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
    const delayMs = server === undefined ? 0 : this.context.backpressure.delayMs(server.entry);
    const canSendNow = server !== undefined && delayMs === 0;
    // Another attempt is still pending, so a hedge that cannot be sent now is dropped.
    if (!canSendNow && this.pendingCount > 0) return;
    if (server === undefined) {
      this.waitForPlace();
    } else if (delayMs > 0) {
      void this.sendWhenDue(server, delayMs);
    } else {
      this.context.backpressure.reserve(server.entry);
      this.sendNow(server.entry);
    }
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
    const options = { ...types.PLAIN_ATTEMPT_OPTIONS, server, timeLeftMs };
    const outcome = await sends.sendBuffered(context, call, options, this.scope.signal);
    this.changePendingCount(server.id, -1);
    this.pendingCount -= 1;
    if (this.isSettled || this.scope.signal.aborted) return;
    const elapsedMs = context.clock.nowMs() - startedAtMs;
    plainAttempts.recordPlainAttempt(context, call, { server, outcome, elapsedMs });
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
    const { directory } = this.context;
    if (outcome.isOtherServer)
      directory.markLeaving(server.id, servers.LeavingReason.ReplacedAtAddress);
    this.retryOrFinish(outcome.wasSent);
  }

  /** Handles an attempt that was not sent, as servers have ended under such work. */
  onWithheld({ blame }: sends.Withheld, server: servers.ServerEntry): void {
    this.possiblyRanIds.delete(server.id);
    if (this.pendingCount > 0) return;
    const refusal = refusals.createBlameRefusal(blame);
    if (this.lastAnswer !== null) this.forwardAnswer(this.lastAnswer);
    else if (this.mayHaveRun) this.finishWithoutAnswer(refusal.reason);
    else this.refuse(refusal, refusals.describeBlame(blame));
  }

  /** Handles an attempt with an unknown outcome: only an idempotent call is retried, while few servers ended. */
  onUnknown({ hasServerEnded }: sends.Unknown): void {
    this.mayHaveRun = true;
    if (hasServerEnded) this.endedServersCount += 1;
    const canRepeat = this.endedServersCount < constants.MAX_ENDED_SERVERS_COUNT;
    if (this.isIdempotent && canRepeat) this.retryOrFinish();
    else if (this.pendingCount === 0) this.finishUnsent(types.RefusalReason.OutcomeUnknown);
  }

  /** Retries the call, or finishes it. A retry of an unsent attempt does not use the retry budget. */
  private retryOrFinish(wasSent = true): void {
    if (this.pendingCount > 0) return;
    const maxCount = wasSent ? constants.MAX_SENDS_COUNT : constants.MAX_TRIES_COUNT;
    const canSend = this.sendsCount < maxCount;
    if (canSend && (!wasSent || consumeRetries.consumeRetry(this.context, this.call))) {
      this.send();
      return;
    }
    this.finishUnsent(types.RefusalReason.ServersRefused);
  }

  private selectServer(): servers.KnownServer | undefined {
    return plainTargets.selectPlainTarget(this.context, {
      serviceName: this.call.serviceName,
      pendingCounts: this.pendingCounts,
      triedIds: this.triedIds,
      possiblyRanIds: this.possiblyRanIds,
      canUseNewServer: this.possiblyRanIds.size < this.maxServersCount,
      isIdempotent: this.isIdempotent,
    });
  }

  /**
   * Sends the call when a brittle server has a place for it. A call that cannot be answered within its
   * objective, or at a VM without places, is refused at once.
   */
  private waitForPlace(): void {
    const refused = unplacedCalls.refuseUnplaced(this.context, this.call);
    if (refused !== null) {
      this.finishUnsent(refused.reason, refused.retryAfterMs);
      return;
    }
    const sendAgain = (): void => {
      if (!this.isSettled) this.send();
    };
    // Rejects only if the call has ended.
    void this.context.clock
      .sleep(constants.PLACE_CHECK_INTERVAL_MS, this.scope.signal)
      .then(sendAgain, () => null);
  }

  /**
   * Sends the call when a server with a limited rate takes it. It waits only as long as it can still
   * be answered within its objective; otherwise its caller is told at once when to come back.
   */
  private async sendWhenDue(server: servers.KnownServer, delayMs: number): Promise<void> {
    const { clock, directory, backpressure, trust } = this.context;
    const { id } = server.entry;
    const objectiveLeftMs = this.call.arrivedAtMs + this.call.route.objectiveMs - clock.nowMs();
    if (delayMs > objectiveLeftMs - (trust.typicalMs(id) ?? 0)) {
      const retryAfterMs = dispatch.computeRetryAfterMs(delayMs, this.context.random);
      this.finishUnsent(types.RefusalReason.RateLimited, retryAfterMs);
      return;
    }
    backpressure.reserve(server.entry);
    // Rejects only if the call has ended.
    await clock.sleep(delayMs, this.scope.signal).catch(() => null);
    if (this.isSettled || this.scope.signal.aborted) return;
    const known = directory.find(id);
    if (known !== undefined && directory.acceptsWork(known)) this.sendNow(server.entry);
    else this.send();
  }

  private sendNow(server: servers.ServerEntry): void {
    this.sendsCount += 1;
    this.pendingCount += 1;
    void this.sendTo(server);
  }

  /** Ends a call that cannot be sent again: with the last answer, if there is one. */
  private finishUnsent(
    reason: types.RefusalReason,
    retryAfterMs = constants.DEFAULT_RETRY_AFTER_MS,
  ): void {
    if (this.lastAnswer !== null) this.forwardAnswer(this.lastAnswer);
    else this.finishWithoutAnswer(reason, retryAfterMs);
  }

  private scheduleHedge(): void {
    if (!this.isIdempotent || this.maxServersCount < 2) return;
    const delayMs = constants.HEDGE_OBJECTIVE_RATIO * this.call.route.objectiveMs;
    this.hedgeTimer = this.context.clock.schedule(delayMs, () => {
      if (this.isSettled || this.pendingCount !== 1) return;
      if (
        this.sendsCount >= constants.MAX_SENDS_COUNT ||
        !consumeRetries.consumeRetry(this.context, this.call)
      )
        return;
      const fields = { requestId: this.call.head.id, afterMs: Math.round(delayMs) };
      this.context.log.record(Importance.Routine, LogEvent.Hedged, fields);
      this.send();
    });
  }

  private forwardAnswer(answer: sends.BufferedAnswer): void {
    if (this.isSettled) return;
    const { head, body } = answer;
    this.sink.answer(head.status, head.forwardedHeaders, body);
    plainAttempts.recordForwardedAnswer(this.context, this.call, answer, this.sendsCount);
    this.finish();
  }

  private finishWithoutAnswer(
    reason: types.RefusalReason,
    retryAfterMs = constants.DEFAULT_RETRY_AFTER_MS,
  ): void {
    if (this.isSettled) return;
    const reportedReason = this.mayHaveRun ? types.RefusalReason.OutcomeUnknown : reason;
    const hasRetryAfter = refusals.createRefusal(reportedReason).status === 503;
    this.refuse(refusals.createRefusal(reportedReason, hasRetryAfter ? retryAfterMs : null));
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

  private refuse(refusal: types.Refusal, details: diagnostics.LogFields = {}): void {
    const { context, call, sink, sendsCount } = this;
    answerRefusals.answerRefusal(context, call, sink, refusal, { sendsCount, ...details });
    this.finish();
  }

  private finish(): void {
    this.isSettled = true;
    this.settle();
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
  [sends.SendKind.Unknown]: (call, outcome: sends.Unknown) => call.onUnknown(outcome),
  [sends.SendKind.Withheld]: (call, outcome: sends.Withheld, server) =>
    call.onWithheld(outcome, server),
};

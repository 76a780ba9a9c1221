import * as diagnostics from "../../../diagnostics/index.js";
import * as dispatch from "../../../dispatch/index.js";
import * as routing from "../../../routing/index.js";
import * as serverLinks from "../../../serverLinks/index.js";
import * as servers from "../../../servers/index.js";
import * as attempts from "../attemptCall/index.js";
import * as attemptScopes from "../attemptScope/index.js";
import type * as callSink from "../callSink/index.js";
import * as awaitPlaces from "../awaitPlace/index.js";
import * as callEndings from "../callEnding/index.js";
import * as hedgeDelays from "../computeHedgeDelay/index.js";
import * as consumeRetries from "../consumeRetry/index.js";
import * as peerTargets from "../findPeerTarget/index.js";
import * as planCallRetries from "../planCallRetry/index.js";
import * as plainAttempts from "../recordPlainAttempt/index.js";
import * as unplacedCalls from "../refuseUnplaced/index.js";
import * as plainTargets from "../selectPlainTarget/index.js";
import * as sends from "../sendBuffered/index.js";
import * as constants from "../../constants.js";
import type * as relayContext from "../../relayContext.js";
import * as types from "../../types.js";

const { Importance, LogEvent } = diagnostics;
const { AttemptFailure } = dispatch;

/** One call in progress. Up to two of its attempts may be pending at a time. */
export class PlainCall {
  /** Attempts so far, and those in progress. */
  readonly progress = { sendsCount: 0, pendingCount: 0 };
  private readonly triedIds = new Set<string>();
  /** Servers that may have executed the call; the route bounds their number. */
  private readonly possiblyRanIds = new Set<string>();
  private readonly isIdempotent: boolean;
  private readonly maxServersCount: number;
  private readonly ending: callEndings.CallEnding;
  private hedgeTimer: Disposable | null = null;
  private pausesCount = 0;
  private endedServersCount = 0;

  /**
   * @param sendBuffered - sends one attempt; replaced in tests on a virtual clock
   */
  constructor(
    private readonly context: relayContext.RelayContext,
    private readonly pendingCounts: Map<string, number>,
    private readonly call: types.Call,
    sink: callSink.CallSink,
    private readonly scope: attemptScopes.AttemptScope,
    private readonly sendBuffered: typeof sends.sendBuffered = sends.sendBuffered,
  ) {
    this.isIdempotent = call.route.kind === routing.RouteKind.Idempotent;
    this.maxServersCount = this.isIdempotent ? Math.max(1, call.route.maxServersCount) : 1;
    this.ending = new callEndings.CallEnding(context, call, sink, scope, this.progress);
  }

  /** Whether the call may be sent to a server that has not executed it. */
  private get canUseNewServer(): boolean {
    return this.possiblyRanIds.size < this.maxServersCount;
  }

  async run(): Promise<void> {
    this.send();
    this.scheduleHedge();
    await this.ending.finished;
    this.hedgeTimer?.[Symbol.dispose]();
  }

  private send(): void {
    const server = this.selectServer();
    const delayMs = server === undefined ? 0 : this.context.backpressure.delayMs(server.entry);
    const canSendNow = server !== undefined && delayMs === 0;
    // Another attempt is still pending, so a hedge that cannot be sent now is dropped.
    if (!canSendNow && this.progress.pendingCount > 0) return;
    if (server === undefined) {
      this.waitForPlace();
    } else if (delayMs > 0) {
      this.contain(this.sendWhenDue(server, delayMs));
    } else {
      this.context.backpressure.reserve(server.entry);
      this.sendNow(server.entry);
    }
  }

  private async sendTo(server: servers.ServerEntry, way: sends.SendWay): Promise<void> {
    const { context, call, pendingCounts, progress, sendBuffered } = this;
    this.triedIds.add(server.id);
    this.possiblyRanIds.add(server.id);
    const { signal } = this.scope;
    const attempt = { server, way, pendingCounts, progress, sendBuffered, signal };
    const result = await attempts.attemptCall(context, call, attempt);
    if (this.ending.isSettled) return;
    plainAttempts.recordPlainAttempt(context, call, { server, ...result });
    HANDLER_BY_OUTCOME[result.outcome.kind](this, result.outcome as never, server);
  }

  /** Handles a complete answer: forwards it, or retries an idempotent call if it is a failure. */
  onAnswered(answer: sends.BufferedAnswer): void {
    this.ending.recordRun(answer);
    const isServed = sends.verdictOf(answer) === servers.AttemptVerdict.Served;
    if (isServed || !this.isIdempotent) this.ending.forwardAnswer(answer);
    else this.retryOrFinish(AttemptFailure.Failed);
  }

  /** Handles an attempt that the server did not execute: another server may be tried. */
  onNotRun(outcome: sends.NotRun, server: servers.ServerEntry): void {
    this.possiblyRanIds.delete(server.id);
    const { directory } = this.context;
    if (outcome.isOtherServer)
      directory.markLeaving(server.id, servers.LeavingReason.ReplacedAtAddress);
    this.retryOrFinish(outcome.wasSent ? AttemptFailure.Rejected : AttemptFailure.NotSent);
  }

  /** Handles an attempt that was not sent, as servers have ended under such work. */
  onWithheld(outcome: sends.Withheld, server: servers.ServerEntry): void {
    this.possiblyRanIds.delete(server.id);
    if (this.progress.pendingCount === 0) this.ending.finishWithheld(outcome);
  }

  /** Handles an attempt with an unknown outcome: only an idempotent call is retried, while few servers ended. */
  onUnknown({ hasServerEnded }: sends.Unknown): void {
    this.ending.recordRun(null);
    if (hasServerEnded) this.endedServersCount += 1;
    const canRepeat = this.endedServersCount < constants.MAX_ENDED_SERVERS_COUNT;
    if (this.isIdempotent && canRepeat) this.retryOrFinish(AttemptFailure.Failed);
    else if (this.progress.pendingCount === 0)
      this.ending.finishUnsent(types.RefusalReason.OutcomeUnknown);
  }

  /** Sends the call again as planned, or finishes it. */
  private retryOrFinish(failure: dispatch.AttemptFailure): void {
    if (this.progress.pendingCount > 0) return;
    const plan = planCallRetries.planCallRetry(this.context, this.call, {
      failure,
      sendsCount: this.progress.sendsCount,
      pausesCount: this.pausesCount,
      canUseNewServer: this.canUseNewServer,
      hasSoundServer: this.hasSoundServer(),
      triedIds: this.triedIds,
    });
    if (plan === null) {
      this.ending.finishUnsent(types.RefusalReason.ServersRefused);
      return;
    }
    if (plan.delayMs > 0) {
      this.contain(this.retryLater(failure, plan));
      return;
    }
    const isAllowed = !plan.usesBudget || consumeRetries.consumeRetry(this.context, this.call);
    if (isAllowed) this.send();
    else this.ending.finishUnsent(types.RefusalReason.ServersRefused);
  }

  /** Sends the call again after a pause; plans anew if the budget or the servers do not allow it then. */
  private async retryLater(
    failure: dispatch.AttemptFailure,
    { delayMs, isSpare }: dispatch.RetryPlan,
  ): Promise<void> {
    this.pausesCount += 1;
    // Rejects only if the call has ended.
    await this.context.clock.sleep(delayMs, this.scope.signal).catch(() => null);
    if (this.ending.isSettled) return;
    if (this.hasSoundServer() && consumeRetries.consumeRetry(this.context, this.call, isSpare))
      this.send();
    else this.retryOrFinish(failure);
  }

  private hasSoundServer(): boolean {
    const server = this.selectServer();
    if (server === undefined) return false;
    const failureRatio = this.context.trust.failureRatio(server.entry.id);
    return failureRatio <= constants.UNSOUND_FAILURE_RATIO;
  }

  private selectServer(): servers.KnownServer | undefined {
    return plainTargets.selectPlainTarget(this.context, {
      serviceName: this.call.serviceName,
      objectiveMs: this.call.route.objectiveMs,
      pendingCounts: this.pendingCounts,
      triedIds: this.triedIds,
      possiblyRanIds: this.possiblyRanIds,
      canUseNewServer: this.canUseNewServer,
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
      this.ending.finishUnsent(refused.reason, refused.retryAfterMs);
      return;
    }
    this.contain(this.sendWhenPlaced());
  }

  private async sendWhenPlaced(): Promise<void> {
    const { possiblyRanIds, canUseNewServer, scope } = this;
    const query = { possiblyRanIds, canUseNewServer, signal: scope.signal };
    const borrowed = await awaitPlaces.awaitPlace(this.context, this.call, query);
    if (this.ending.isSettled) borrowed?.connection.socket.destroy();
    else if (borrowed === null) this.send();
    else this.sendNow(borrowed.server, { connection: borrowed.connection });
  }

  /**
   * Sends the call when a server with a limited rate takes it. It waits only as long as it can still
   * be answered within its objective; otherwise its caller is told at once when to come back.
   */
  private async sendWhenDue(server: servers.KnownServer, delayMs: number): Promise<void> {
    const { clock, directory, backpressure, places, trust } = this.context;
    const { id } = server.entry;
    const objectiveLeftMs = this.call.arrivedAtMs + this.call.route.objectiveMs - clock.nowMs();
    if (delayMs > objectiveLeftMs - (trust.typicalMs(id) ?? 0)) {
      const retryAfterMs = dispatch.computeRetryAfterMs(delayMs, this.context.random);
      this.ending.finishUnsent(types.RefusalReason.RateLimited, retryAfterMs);
      return;
    }
    backpressure.reserve(server.entry);
    // Rejects only if the call has ended.
    await clock.sleep(delayMs, this.scope.signal).catch(() => null);
    if (this.ending.isSettled) return;
    const known = directory.find(id);
    if (known && directory.acceptsWork(known) && places.isFree(server.entry))
      this.sendNow(server.entry);
    else this.send();
  }

  /** Lets an error of a step of this call end the call, and no more. */
  private contain(step: Promise<void>): void {
    step.catch((error: unknown) => this.ending.finishFailed(error));
  }

  private sendNow(server: servers.ServerEntry, way: sends.SendWay = {}): void {
    if (this.ending.refuseIfTooLate()) {
      way.connection?.socket.destroy();
      return;
    }
    this.context.spread.advance(this.call.serviceName);
    this.context.loads.recordSend(server);
    this.progress.sendsCount += 1;
    this.progress.pendingCount += 1;
    this.contain(this.sendTo(server, way));
  }

  /**
   * Sends an idempotent call to a second server when its objective is near. It waits longer while calls at its
   * server take that long at present: then it is in a queue, and a second one would only lengthen another.
   */
  private scheduleHedge(): void {
    if (!this.isIdempotent || this.maxServersCount < 2) return;
    const { clock, log } = this.context;
    const elapsedMs = clock.nowMs() - this.call.arrivedAtMs;
    const dueInMs =
      hedgeDelays.computeHedgeDelayMs(this.context, this.call, this.triedIds) - elapsedMs;
    if (dueInMs >= 1) {
      this.hedgeTimer = clock.schedule(dueInMs, () => this.scheduleHedge());
      return;
    }
    const objectiveDelayMs = constants.HEDGE_OBJECTIVE_RATIO * this.call.route.objectiveMs;
    const peerDelayMs = Math.max(objectiveDelayMs, serverLinks.SILENCE_TIMEOUT_MS);
    this.hedgeTimer = clock.schedule(peerDelayMs, () => this.sendThroughPeer());
    if (this.ending.isSettled || this.progress.pendingCount !== 1) return;
    if (this.progress.sendsCount >= constants.MAX_SENDS_COUNT) return;
    if (!consumeRetries.consumeRetry(this.context, this.call, true)) return;
    const fields = { requestId: this.call.head.id, afterMs: Math.round(elapsedMs) };
    log.record(Importance.Routine, LogEvent.Hedged, fields);
    this.send();
  }

  /**
   * Repeats a call that no server has answered, at one of the same servers through a peer, if servers may
   * be silent towards this VM alone. A failure of it leaves the other attempts in progress.
   */
  private sendThroughPeer(): void {
    const { backpressure, connector } = this.context;
    if (this.ending.isSettled || !connector.mayBeSilent) return;
    const server = peerTargets.findPeerTarget(this.context, this.call, this.possiblyRanIds);
    if (server === undefined) return;
    if (!consumeRetries.consumeRetry(this.context, this.call)) return;
    backpressure.reserve(server.entry);
    this.sendNow(server.entry, { prefersPeer: true });
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

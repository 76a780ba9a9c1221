import * as stepError from "../../../_lib/stepError/index.js";
import * as constants from "../../constants.js";
import type * as types from "../../types.js";
import type * as contexts from "../context/index.js";
import * as errors from "../errors/index.js";
import * as mailboxes from "../mailbox/index.js";
import * as messages from "../messages/index.js";
import * as placements from "../placement/index.js";
import * as progressBounds from "../progressBound/index.js";
import * as records from "../record/index.js";
import * as replicators from "../replicator/index.js";
import type * as views from "../views/index.js";

/** What an owned generation shares with the others of its VM. */
export interface OwnerServices {
  readonly context: contexts.GenerationContext;
  readonly views: views.EngineViews;
  readonly avoidance: placements.Avoidance;
  readonly replicator: replicators.Replicator;
}

/** Something that the task of an owned generation has to react to. */
type OwnerEvent =
  | { readonly kind: "settled" }
  | { readonly kind: "stepped-down" }
  | { readonly kind: "room"; readonly engineName: string }
  | { readonly kind: "retry" }
  | { readonly kind: "home-lost"; readonly reason: string }
  | { readonly kind: "run-ended"; readonly ended: messages.RunEnded };

/** What the first placement of a request came to. */
export type FirstVerdict = "admitted" | "waiting" | "given-up";

/** A generation that this VM answers for: it places it, takes its tokens and repairs its run. */
export class OwnedGeneration {
  readonly record: records.GenerationRecord;
  readonly acceptedAtMs: number;
  readonly firstVerdict: Promise<FirstVerdict>;
  isWaiting = false;
  waitingReason = "";
  /** Callers attached at this VM. */
  attachedCount = 0;
  private isOwner = true;
  /** Lowest offset at which this owner had a new run started instead of resuming one. */
  private branchOffset = Infinity;
  /** How far callers have read here. */
  private deliveredOffset = 0;
  private preferredEngine: string | null = null;
  private lastFrameAtMs: number;
  private grantedOffset = Infinity;
  private probesCount = 0;
  private readonly progress: progressBounds.ProgressBound;
  private readonly events = new mailboxes.Mailbox<OwnerEvent>();
  private reportVerdict: (verdict: FirstVerdict) => void = () => undefined;

  constructor(
    private readonly services: OwnerServices,
    snapshot: messages.GenerationSnapshot,
  ) {
    this.record = new records.GenerationRecord(snapshot);
    this.acceptedAtMs = services.context.clock.nowMs();
    this.lastFrameAtMs = this.acceptedAtMs;
    this.progress = new progressBounds.ProgressBound(snapshot.request.promptTokens);
    this.firstVerdict = new Promise((resolve) => (this.reportVerdict = resolve));
  }

  /** Whether this VM still answers for the generation, settled or not. */
  get isCurrentOwner(): boolean {
    return this.isOwner;
  }

  /**
   * Whether a caller that has read up to an offset holds tokens of another sampling: a new run was
   * started before that offset, and this owner did not deliver the tokens in between.
   */
  isSplicedAt(offset: number): boolean {
    return offset > this.branchOffset && offset > this.deliveredOffset;
  }

  get isActive(): boolean {
    return this.isOwner && !this.record.isSettled;
  }

  /** Places the generation and repairs its run until it is settled or has another owner. */
  async drive(): Promise<void> {
    while (this.isActive) {
      if (!(await this.place())) continue;
      this.reportVerdict("admitted");
      await this.followRun();
    }
    this.reportVerdict("given-up");
  }

  /** Takes a frame from the run's home. */
  takeFrame(frame: types.TokenFrame, fromVm: string): void {
    const { context } = this.services;
    if (!this.isOwner) return;
    const verdict = this.record.acceptFrame(frame);
    if (verdict === records.FrameVerdict.Stale) {
      context.metrics.increment("generations.stale_frames");
      this.cancelStaleRun(frame, fromVm);
      return;
    }
    if (verdict === records.FrameVerdict.Gap) {
      void this.probe("a frame was lost");
      return;
    }
    this.noteProgress();
    this.services.replicator.onTokens(this.record, frame);
    if (this.record.isSettled) this.settle();
  }

  takeRunEnded(ended: messages.RunEnded): void {
    if (ended.attempt === this.record.attempt) this.events.push({ kind: "run-ended", ended });
  }

  offerRoom(engineName: string): void {
    this.events.push({ kind: "room", engineName });
  }

  /** The home's connection broke, or its VM is gone. */
  onHomeLost(vmName: string, reason: string): void {
    if (this.record.run?.homeVm === vmName && this.isActive) void this.probe(reason);
  }

  /** Another VM has taken the generation over with a newer attempt. */
  stepDown(ownerVm: string, attempt: number): void {
    if (!this.isOwner) return;
    this.isOwner = false;
    this.record.ownerVm = ownerVm;
    this.record.attempt = attempt;
    this.trace("owner.stepped-down", `${ownerVm} holds attempt ${attempt}`);
    this.events.push({ kind: "stepped-down" });
    this.record.notifyChange();
  }

  giveUp(error: stepError.StepError): void {
    if (!this.isActive) return;
    this.cancelRun();
    this.record.fail(error);
    this.trace("generation.given-up", error.message);
    this.settle();
  }

  /** Notes how far a caller has read, and lets the run go on accordingly. */
  noteDelivered(offset: number): void {
    this.deliveredOffset = Math.max(this.deliveredOffset, offset);
    const { run } = this.record;
    if (run === null || !this.isActive) return;
    const wantedOffset = offset + constants.CREDIT_WINDOW_TOKENS;
    const isEnough = this.grantedOffset - offset > constants.CREDIT_WINDOW_TOKENS / 2;
    if (isEnough && this.grantedOffset !== Infinity) return;
    this.grantCredit(wantedOffset);
  }

  /** Lets the run go on without a caller reading it. */
  liftCredit(): void {
    if (this.grantedOffset !== Infinity) this.grantCredit(Infinity);
  }

  /** Checks the deadline and, while running, the silence of the home. */
  watch(): void {
    if (!this.isActive) return;
    const { context } = this.services;
    if (context.clock.wallTimeMs() >= this.record.request.deadlineAtWallMs) {
      this.onDeadline();
      return;
    }
    this.services.replicator.watch(this.record);
    const isHeldBack = this.record.tokens.length >= this.grantedOffset;
    if (this.record.run === null || isHeldBack) return;
    const silentMs = context.clock.nowMs() - this.lastFrameAtMs;
    if (silentMs < this.progress.boundMs(0) * 2 ** this.probesCount) return;
    void this.probe(`no frame for ${Math.round(silentMs)} ms`);
  }

  private async place(): Promise<boolean> {
    const target = this.selectTarget();
    if (target === null) {
      await this.waitForRoom("no engine with the model can take work");
      return false;
    }
    const answer = await placements.dispatch(this.services, this.record, target);
    if (!this.isActive) {
      this.cancelRun();
      return false;
    }
    if (answer.isErr()) {
      this.onHomeUnreachable(target, answer.error);
      return false;
    }
    return this.onVerdict(target, answer.value);
  }

  private selectTarget(): placements.Target | null {
    const target = placements.selectTarget(this.services, this.record, this.preferredEngine);
    this.preferredEngine = null;
    return target;
  }

  private async onVerdict(
    target: placements.Target,
    answer: messages.DispatchAnswer,
  ): Promise<boolean> {
    const handlers: Record<messages.DispatchVerdict, () => Promise<boolean> | boolean> = {
      [messages.DispatchVerdict.Admitted]: () => this.onAdmitted(target),
      [messages.DispatchVerdict.Wait]: async () => {
        await this.waitForRoom(answer.reason);
        return false;
      },
      [messages.DispatchVerdict.Refused]: () => this.onRefused(answer),
      [messages.DispatchVerdict.Unavailable]: () => this.onUnavailable(target, answer.reason),
      [messages.DispatchVerdict.Superseded]: () => this.onSuperseded(answer),
    };
    return handlers[answer.verdict]();
  }

  private onAdmitted(target: placements.Target): boolean {
    this.isWaiting = false;
    if (target.resumeAttempt === null) {
      this.branchOffset = Math.min(this.branchOffset, this.record.tokens.length);
    }
    this.record.run = {
      homeVm: target.homeVm,
      engineName: target.engine.name,
      engineAttempt: target.resumeAttempt ?? this.record.attempt,
    };
    this.grantedOffset = Infinity;
    this.lastFrameAtMs = this.services.context.clock.nowMs();
    this.probesCount = 0;
    this.trace("run.placed", `attempt ${this.record.attempt} at ${target.homeVm}`, target);
    this.services.replicator.onPlaced(this.record);
    return true;
  }

  private onRefused(answer: messages.DispatchAnswer): boolean {
    this.giveUp(
      this.createFailure(answer.reason, stepError.ErrorCode.DeadlineUnreachable, answer),
    );
    return false;
  }

  private onUnavailable(target: placements.Target, reason: string): boolean {
    this.services.avoidance.avoidEngine(target.engine.name);
    this.trace("run.unavailable", reason, target);
    this.record.run = null;
    return false;
  }

  private onSuperseded(answer: messages.DispatchAnswer): boolean {
    const isOwnRun = answer.ownerVm === this.services.context.link.selfName;
    if (isOwnRun) this.record.attempt = Math.max(this.record.attempt, answer.attempt);
    else this.stepDown(answer.ownerVm, answer.attempt);
    return false;
  }

  private onHomeUnreachable(target: placements.Target, error: stepError.StepError): void {
    this.services.avoidance.avoidVm(target.homeVm);
    this.services.context.metrics.increment("generations.home_takeovers");
    this.trace("home.unreachable", `${target.homeVm}: ${error.message}`, target);
  }

  private async waitForRoom(reason: string): Promise<void> {
    const { context } = this.services;
    this.reportVerdict("waiting");
    if (!this.isWaiting) this.trace("queue.waits", reason);
    this.isWaiting = true;
    this.waitingReason = reason;
    const timer = context.clock.schedule(constants.WAITING_RETRY_MS, () =>
      this.events.push({ kind: "retry" }),
    );
    const event = await this.events.next();
    timer[Symbol.dispose]();
    if (event.kind === "room") this.preferredEngine = event.engineName;
  }

  private async followRun(): Promise<void> {
    while (this.isActive && this.record.run !== null) {
      const event = await this.events.next();
      if (event.kind === "run-ended") this.onRunEnded(event.ended);
      if (event.kind === "home-lost") return;
    }
  }

  private onRunEnded(ended: messages.RunEnded): void {
    const { run } = this.record;
    if (ended.attempt !== this.record.attempt || run === null) return;
    this.record.run = null;
    this.trace(`run.${ended.kind}`, ended.reason);
    if (ended.kind === messages.RunEndKind.Suspended) {
      this.preferredEngine = run.engineName;
      this.isWaiting = true;
      return;
    }
    this.services.avoidance.avoidEngine(run.engineName);
    this.services.context.metrics.increment(
      this.record.tokens.length > 0 ? "generations.continuations" : "generations.restarts",
    );
  }

  /** Asks the home to go on from here; where it does not answer, another VM becomes the home. */
  private async probe(reason: string): Promise<void> {
    const { run, attempt } = this.record;
    if (run === null) return;
    this.probesCount += 1;
    const answer = await placements.probe(this.services, this.record, run);
    const isSameRun = this.record.attempt === attempt && this.record.run === run;
    if (!this.isActive || !isSameRun || answer === "running") return;
    this.trace("home.lost", `${run.homeVm}: ${reason}`);
    if (answer === "unreachable") this.services.avoidance.avoidVm(run.homeVm);
    this.services.context.metrics.increment("generations.home_takeovers");
    this.events.push({ kind: "home-lost", reason });
  }

  private noteProgress(): void {
    const nowMs = this.services.context.clock.nowMs();
    this.progress.note(nowMs - this.lastFrameAtMs);
    this.lastFrameAtMs = nowMs;
    this.probesCount = 0;
  }

  /** A home that still runs an older attempt is told to stop. */
  private cancelStaleRun(frame: types.TokenFrame, fromVm: string): void {
    if (frame.attempt >= this.record.attempt) return;
    const { requestId, attempt } = frame;
    this.services.context.link.notify(fromVm, messages.Method.Cancel, { requestId, attempt });
  }

  private cancelRun(): void {
    const { run, requestId, attempt } = this.record;
    if (run === null) return;
    this.services.context.link.notify(run.homeVm, messages.Method.Cancel, { requestId, attempt });
  }

  /** A stream that makes progress is finished even after its deadline, except for a lookup. */
  private onDeadline(): void {
    const isProgressing = this.record.run !== null && this.record.tokens.length > 0;
    if (isProgressing && this.record.request.isStreamed) return;
    const message = "the deadline passed before the generation was finished";
    this.giveUp(this.createFailure(message, stepError.ErrorCode.DeadlineExceeded));
  }

  private createFailure(
    message: string,
    code: stepError.ErrorCode,
    answer?: messages.DispatchAnswer,
  ): stepError.StepError {
    return errors.createFailure(message, {
      code,
      step: "generation.place",
      deliveredTokens: this.record.heldCount,
      ...(answer === undefined ? {} : { retryAfterMs: answer.estimatedWaitMs }),
    });
  }

  private grantCredit(offset: number): void {
    const { run, requestId, attempt } = this.record;
    if (run === null) return;
    this.grantedOffset = offset;
    const { link } = this.services.context;
    link.notify(run.homeVm, messages.Method.Credit, { requestId, attempt, offset });
  }

  private settle(): void {
    const { clock } = this.services.context;
    this.record.expiresAtMs = clock.nowMs() + this.record.request.entry.keepFinishedMs;
    this.events.push({ kind: "settled" });
    this.record.notifyChange();
  }

  private trace(step: string, reason: string, target?: placements.Target): void {
    this.services.context.tracer.record(this.record.requestId, {
      step,
      offset: this.record.tokens.length,
      reason,
      ...(target === undefined ? {} : { backend: target.engine.name }),
    });
  }
}

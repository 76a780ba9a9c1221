import * as catalogueTypes from "../../../catalogue/types.js";
import * as stepError from "../../../_lib/stepError/index.js";
import type * as types from "../../types.js";
import * as errors from "../errors/index.js";
import * as deliveryStates from "../deliveries/index.js";
import * as mailboxes from "../mailbox/index.js";
import * as messages from "../messages/index.js";
import * as placements from "../placement/index.js";
import * as placers from "../placer/index.js";
import * as records from "../record/index.js";
import * as runWatches from "../runWatch/index.js";

/** What the first placement of a request came to. */
export type FirstVerdict = "admitted" | "waiting" | "given-up";

/** A generation that this VM answers for: it places it, takes its tokens and repairs its run. */
export class OwnedGeneration implements placers.PlacedGeneration {
  readonly record: records.GenerationRecord;
  readonly deliveries: deliveryStates.Deliveries;
  readonly acceptedAtMs: number;
  readonly firstVerdict: Promise<FirstVerdict>;
  isWaiting = false;
  waitingReason = "";
  private isOwner = true;
  private readonly runWatch: runWatches.RunWatch;
  readonly events = new mailboxes.Mailbox<placers.OwnerEvent>();
  private readonly placer: placers.Placer;
  private reportVerdict: (verdict: FirstVerdict) => void = () => undefined;

  constructor(
    private readonly services: placers.OwnerServices,
    snapshot: messages.GenerationSnapshot,
  ) {
    this.record = new records.GenerationRecord(snapshot);
    this.acceptedAtMs = services.context.clock.nowMs();
    this.placer = new placers.Placer(services, this);
    this.deliveries = new deliveryStates.Deliveries(services.context.clock);
    this.runWatch = new runWatches.RunWatch(services.context, this.record);
    if (this.record.isSettled) this.settle();
    this.firstVerdict = new Promise((resolve) => (this.reportVerdict = resolve));
  }

  /** Whether this VM still answers for the generation, settled or not. */
  get isCurrentOwner(): boolean {
    return this.isOwner;
  }

  /** Whether tokens, if only the last ones, have yet to reach the second holder. */
  get needsHolders(): boolean {
    const isWholeHeld = this.record.heldCount === this.record.tokens.length;
    return this.isActive || (this.isOwner && !isWholeHeld);
  }

  /** Whether this VM may forget the generation without losing anything. */
  get isHandedOver(): boolean {
    return !this.isOwner || this.record.failure !== null || this.deliveries.hasDeliveredEnd;
  }

  get isActive(): boolean {
    return this.isOwner && !this.record.isSettled;
  }

  /** Places the generation and repairs its run until it is settled or has another owner. */
  async drive(): Promise<void> {
    while (this.isActive) {
      if (!(await this.placer.place())) continue;
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
    this.runWatch.onFrame();
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

  /** This VM stops: whoever holds the generation elsewhere takes it over. */
  stop(): void {
    this.isOwner = false;
    this.events.push({ kind: "stepped-down" });
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
    this.deliveries.noteDelivered(offset);
    if (this.isActive) this.runWatch.onDelivered(this.deliveries.deliveredOffset);
  }

  /** A caller reads the generation here, until the result is disposed of. */
  attach(): Disposable {
    this.deliveries.attach();
    return {
      [Symbol.dispose]: () => {
        this.deliveries.detach();
        if (!this.deliveries.isAttached && this.isActive) this.runWatch.liftCredit();
      },
    };
  }

  /** Checks the deadline and, while running, the silence of the home. */
  watch(): void {
    if (this.needsHolders) this.services.replicator.watch(this.record);
    if (!this.isActive) return;
    const { context } = this.services;
    if (context.clock.wallTimeMs() >= this.record.request.deadlineAtWallMs) {
      this.onDeadline();
      return;
    }
    if (this.isAbandoned()) {
      this.onAbandoned();
      return;
    }
    const overdueMs = this.runWatch.overdueMs();
    if (overdueMs !== null) void this.probe(`no frame for ${Math.round(overdueMs)} ms`);
  }

  /** A run was started or taken up at a home. */
  onPlaced(target: placements.Target): void {
    this.isWaiting = false;
    if (target.resumeAttempt === null) {
      this.deliveries.noteBranch(this.record.tokens.length);
    }
    this.record.run = {
      homeVm: target.homeVm,
      engineName: target.engine.name,
      engineAttempt: target.resumeAttempt ?? this.record.attempt,
    };
    this.runWatch.onPlaced();
    const reason = `attempt ${this.record.attempt} at ${target.homeVm}`;
    this.trace("run.placed", reason, target.engine.name);
    this.services.replicator.onPlaced(this.record);
  }

  onWaiting(reason: string): void {
    this.reportVerdict("waiting");
    if (!this.isWaiting) this.trace("queue.waits", reason);
    this.isWaiting = true;
    this.waitingReason = reason;
  }

  cancelRun(): void {
    const { run, requestId, attempt } = this.record;
    if (run === null) return;
    const cancel = { requestId, attempt, keptStream: null };
    this.services.context.link.notify(run.homeVm, messages.Method.Cancel, cancel);
  }

  trace(step: string, reason: string, engineName?: string): void {
    this.services.context.tracer.record(this.record.requestId, {
      step,
      offset: this.record.tokens.length,
      reason,
      ...(engineName === undefined ? {} : { backend: engineName }),
    });
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
    if (ended.kind === messages.RunEndKind.HomeLeaving) {
      this.record.run = run;
      this.services.avoidance.avoidVm(run.homeVm);
      this.events.push({ kind: "home-lost", reason: ended.reason });
      return;
    }
    if (ended.kind === messages.RunEndKind.Suspended) {
      this.record.suspensionsCount += 1;
      this.placer.preferredEngine = run.engineName;
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
    this.runWatch.onProbe();
    const answer = await placements.probe(this.services, this.record, run);
    const isSameRun = this.record.attempt === attempt && this.record.run === run;
    if (!this.isActive || !isSameRun || answer === "running") return;
    this.trace("home.lost", `${run.homeVm}: ${reason}`);
    if (answer === "unreachable") this.services.avoidance.avoidVm(run.homeVm);
    this.services.context.metrics.increment("generations.home_takeovers");
    this.events.push({ kind: "home-lost", reason });
  }

  /** A home that still runs an older attempt is told to stop. */
  private cancelStaleRun(frame: types.TokenFrame, fromVm: string): void {
    if (frame.attempt >= this.record.attempt) return;
    const { requestId, attempt } = frame;
    const cancel = { requestId, attempt, keptStream: this.record.run };
    this.services.context.link.notify(fromVm, messages.Method.Cancel, cancel);
  }

  /** A stream that makes progress is finished even after its deadline, except for a lookup. */
  private onDeadline(): void {
    const isProgressing = this.record.run !== null && this.record.tokens.length > 0;
    const isLookup = this.record.request.entry.class === catalogueTypes.RequestClass.Interactive;
    if (isProgressing && !isLookup) return;
    const message = "the deadline passed before the generation was finished";
    const details = { step: "generation.deadline", deliveredTokens: this.record.heldCount };
    const code = stepError.ErrorCode.DeadlineExceeded;
    this.giveUp(errors.createFailure(message, { code, ...details }));
  }

  /** The caller has been gone for longer than the entry lets a generation run on unread. */
  private isAbandoned(): boolean {
    const { abandonAfterMs } = this.record.request.entry;
    return abandonAfterMs !== null && this.deliveries.unattendedMs >= abandonAfterMs;
  }

  private onAbandoned(): void {
    this.services.context.metrics.increment("generations.abandoned");
    const details = { step: "generation.abandoned", deliveredTokens: this.record.heldCount };
    const code = stepError.ErrorCode.Interrupted;
    this.giveUp(errors.createFailure("the caller was gone", { code, ...details }));
  }

  private settle(): void {
    const { clock } = this.services.context;
    this.record.expiresAtMs = clock.nowMs() + this.record.request.entry.keepFinishedMs;
    this.events.push({ kind: "settled" });
    this.record.notifyChange();
  }
}

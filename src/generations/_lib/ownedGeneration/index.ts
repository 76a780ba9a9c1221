import * as catalogueTypes from "../../../catalogue/types.js";
import * as stepError from "../../../_lib/stepError/index.js";
import type * as types from "../../types.js";
import * as errors from "../errors/index.js";
import * as deliveryStates from "../deliveries/index.js";
import * as mailboxes from "../mailbox/index.js";
import * as messages from "../messages/index.js";
import * as placements from "../placement/index.js";
import * as placers from "../placer/index.js";
import * as records from "../generationRecord/index.js";
import * as runMonitors from "../runMonitor/index.js";

/** Result of the first placement attempt of a request. */
export type FirstPlacementOutcome = "admitted" | "waiting" | "given-up";

/** A generation that this VM owns: places it, receives its tokens and replaces lost runs. */
export class OwnedGeneration implements placers.PlacedGeneration {
  readonly record: records.GenerationRecord;
  readonly deliveries: deliveryStates.Deliveries;
  readonly acceptedAtMs: number;
  readonly firstPlacementOutcome: Promise<FirstPlacementOutcome>;
  isWaiting = false;
  waitingReason = "";
  private isOwner = true;
  private readonly runMonitor: runMonitors.RunMonitor;
  readonly events = new mailboxes.Mailbox<placers.OwnerEvent>();
  private readonly placer: placers.Placer;
  private reportFirstPlacement: (verdict: FirstPlacementOutcome) => void = () => undefined;

  constructor(
    private readonly services: placers.OwnerServices,
    snapshot: messages.GenerationSnapshot,
  ) {
    this.record = new records.GenerationRecord(snapshot);
    this.acceptedAtMs = services.context.clock.nowMs();
    this.placer = new placers.Placer(services, this);
    this.deliveries = new deliveryStates.Deliveries(services.context.clock);
    this.runMonitor = new runMonitors.RunMonitor(services.context, this.record);
    if (this.record.isSettled) this.settle();
    this.firstPlacementOutcome = new Promise((resolve) => (this.reportFirstPlacement = resolve));
  }

  /** Whether this VM still owns the generation, also if it has finished or failed. */
  get isCurrentOwner(): boolean {
    return this.isOwner;
  }

  /** Whether the generation is active, or some of its tokens have no second holder yet. */
  get isReplicationPending(): boolean {
    const isFullyReplicated = this.record.heldCount === this.record.tokens.length;
    return this.isActive || (this.isOwner && !isFullyReplicated);
  }

  /** Whether this VM may forget the generation without losing data that a caller needs. */
  get canBeForgotten(): boolean {
    return !this.isOwner || this.record.failure !== null || this.deliveries.hasDeliveredEnd;
  }

  get isActive(): boolean {
    return this.isOwner && !this.record.isSettled;
  }

  /** Places the generation, again after each lost run, until it is settled or has another owner. */
  async runUntilSettled(): Promise<void> {
    while (this.isActive) {
      if (!(await this.placer.place())) continue;
      this.reportFirstPlacement("admitted");
      await this.followRun();
    }
    this.reportFirstPlacement("given-up");
  }

  /** Applies a frame from the run's home. */
  applyFrame(frame: types.TokenFrame, fromVm: string): void {
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
    this.runMonitor.onFrame();
    this.services.replicator.onTokens(this.record, frame);
    if (this.record.isSettled) this.settle();
  }

  /** Handles a home's message that the run of the current attempt ended. */
  receiveRunEnded(ended: messages.RunEnded): void {
    if (ended.attempt === this.record.attempt) this.events.push({ kind: "run-ended", ended });
  }

  /** Handles a home's offer of capacity on an engine. */
  onCapacityOffered(engineName: string): void {
    this.events.push({ kind: "room", engineName });
  }

  /** Handles a broken connection to a VM or its failure, if it is the run's home. */
  onHomeLost(vmName: string, reason: string): void {
    if (this.record.run?.homeVm === vmName && this.isActive) void this.probe(reason);
  }

  /** Gives up ownership to a VM that has taken the generation over with a newer attempt. */
  stepDown(ownerVm: string, attempt: number): void {
    if (!this.isOwner) return;
    this.isOwner = false;
    this.record.ownerVm = ownerVm;
    this.record.attempt = attempt;
    this.trace("owner.stepped-down", `${ownerVm} holds attempt ${attempt}`);
    this.events.push({ kind: "stepped-down" });
    this.record.notifyChange();
  }

  /** Ends ownership at shutdown, so that another holder can take the generation over. */
  stop(): void {
    this.isOwner = false;
    this.events.push({ kind: "stepped-down" });
  }

  /** Cancels the run and fails the generation, if it is active. */
  giveUp(error: stepError.StepError): void {
    if (!this.isActive) return;
    this.cancelRun();
    this.record.fail(error);
    this.trace("generation.given-up", error.message);
    this.settle();
  }

  /** Records how far a caller has read, and grants the run credit accordingly. */
  recordDelivered(offset: number): void {
    this.deliveries.recordDelivered(offset);
    if (this.isActive) this.runMonitor.onDelivered(this.deliveries.deliveredOffset);
  }

  /** Attaches a caller until the result is disposed of. */
  attach(): Disposable {
    this.deliveries.attach();
    return {
      [Symbol.dispose]: () => {
        this.deliveries.detach();
        if (!this.deliveries.isAttached && this.isActive) this.runMonitor.grantUnlimitedCredit();
      },
    };
  }

  /** Checks replication, the deadline, abandonment and the silence of the run's home. */
  checkTimeouts(): void {
    if (this.isReplicationPending) this.services.replicator.checkTimeouts(this.record);
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
    const overdueMs = this.runMonitor.computeOverdueMs();
    if (overdueMs !== null) void this.probe(`no frame for ${Math.round(overdueMs)} ms`);
  }

  /** Records that a run was started or resumed at a home. */
  onPlaced(target: placements.Target): void {
    this.isWaiting = false;
    if (target.resumeAttempt === null) {
      this.deliveries.recordNewSampling(this.record.tokens.length);
    }
    this.record.run = {
      homeVm: target.homeVm,
      engineName: target.engine.name,
      engineAttempt: target.resumeAttempt ?? this.record.attempt,
    };
    this.runMonitor.onPlaced();
    const reason = `attempt ${this.record.attempt} at ${target.homeVm}`;
    this.trace("run.placed", reason, target.engine.name);
    this.services.replicator.onPlaced(this.record);
  }

  /** Records that the generation waits for capacity, and why. */
  onWaiting(reason: string): void {
    this.reportFirstPlacement("waiting");
    if (!this.isWaiting) this.trace("queue.waits", reason);
    this.isWaiting = true;
    this.waitingReason = reason;
  }

  /** Cancels the run, if there is one, with its engine's stream. */
  cancelRun(): void {
    const { run, requestId, attempt } = this.record;
    if (run === null) return;
    const cancel = { requestId, attempt, keptStream: null };
    this.services.context.link.notify(run.homeVm, messages.Method.Cancel, cancel);
  }

  /** Traces a step of the generation. */
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

  /** Asks the home for missing tokens; if it has no such run or does not answer, places again. */
  private async probe(reason: string): Promise<void> {
    const { run, attempt } = this.record;
    if (run === null) return;
    this.runMonitor.onProbe();
    const answer = await placements.probe(this.services, this.record, run);
    const isSameRun = this.record.attempt === attempt && this.record.run === run;
    if (!this.isActive || !isSameRun || answer === "running") return;
    this.trace("home.lost", `${run.homeVm}: ${reason}`);
    if (answer === "unreachable") this.services.avoidance.avoidVm(run.homeVm);
    this.services.context.metrics.increment("generations.home_takeovers");
    this.events.push({ kind: "home-lost", reason });
  }

  /** Cancels a run of an older attempt at a home that still sends its frames. */
  private cancelStaleRun(frame: types.TokenFrame, fromVm: string): void {
    if (frame.attempt >= this.record.attempt) return;
    const { requestId, attempt } = frame;
    const cancel = { requestId, attempt, keptStream: this.record.run };
    this.services.context.link.notify(fromVm, messages.Method.Cancel, cancel);
  }

  /** Fails the generation at its deadline; a non-interactive one with tokens and a run continues. */
  private onDeadline(): void {
    const isProgressing = this.record.run !== null && this.record.tokens.length > 0;
    const isInteractive =
      this.record.request.entry.class === catalogueTypes.RequestClass.Interactive;
    if (isProgressing && !isInteractive) return;
    const message = `the deadline passed before request ${this.record.requestId} was finished`;
    const details = { step: "generation.deadline", deliveredTokens: this.record.heldCount };
    const code = stepError.ErrorCode.DeadlineExceeded;
    this.giveUp(errors.createFailure(message, { code, ...details }));
  }

  /** Whether no caller has been attached for longer than the entry's `abandonAfterMs`. */
  private isAbandoned(): boolean {
    const { abandonAfterMs } = this.record.request.entry;
    return abandonAfterMs !== null && this.deliveries.detachedMs >= abandonAfterMs;
  }

  private onAbandoned(): void {
    this.services.context.metrics.increment("generations.abandoned");
    const details = { step: "generation.abandoned", deliveredTokens: this.record.heldCount };
    const code = stepError.ErrorCode.Interrupted;
    this.giveUp(
      errors.createFailure(
        `no caller was attached for ${Math.round(this.deliveries.detachedMs)} ms`,
        { code, ...details },
      ),
    );
  }

  private settle(): void {
    const { clock } = this.services.context;
    this.record.expiresAtMs = clock.nowMs() + this.record.request.entry.keepFinishedMs;
    this.events.push({ kind: "settled" });
    this.record.notifyChange();
  }
}

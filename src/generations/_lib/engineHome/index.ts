import type * as backends from "../../../backends/types.js";
import type * as catalogue from "../../../catalogue/types.js";
import * as catalogueTypes from "../../../catalogue/types.js";
import type * as engines from "../../../engines/types.js";
import * as engineTypes from "../../../engines/types.js";
import * as constants from "../../constants.js";
import type * as types from "../../types.js";
import type * as contexts from "../context/index.js";
import * as engineRequests from "../engineRequest/index.js";
import * as engineRuns from "../engineRun/index.js";
import * as terminationNotices from "../terminationNotice/index.js";
import * as messages from "../messages/index.js";

/** Observes the frames and ends of an engine's runs, and its free capacity. */
export interface HomeObserver {
  onFrame(run: engineRuns.EngineRun, frame: types.TokenFrame): void;
  onRunEnded(run: engineRuns.EngineRun, kind: messages.RunEndKind, reason: string): void;
  /** Called when memory may have become free, or the engine may be usable again. */
  onCapacityAvailable(home: EngineHome): void;
}

/** The home of one engine: admits, runs, suspends and cancels work on it. */
export class EngineHome implements engineRuns.RunObserver, Disposable {
  readonly client: backends.EngineClient;
  readonly terminationNotice = new terminationNotices.TerminationNotice();
  /** Active runs and those retained after their end, by request id. */
  readonly runs = new Map<string, engineRuns.EngineRun>();
  private readonly scheduler: engines.EngineScheduler;
  private readonly polling = new AbortController();
  private missedReportsCount = 0;
  private preemptionsCount: number | null = null;
  private stepTimeMs = 0;

  constructor(
    private readonly context: contexts.GenerationContext,
    readonly engine: catalogue.EngineBackend,
    private readonly observer: HomeObserver,
  ) {
    this.client = context.engineClients.clientFor(engine);
    this.scheduler = context.createScheduler(engine);
  }

  /** Polls load reports until disposed. */
  async pollLoadReports(): Promise<void> {
    const { signal } = this.polling;
    while (!signal.aborted) {
      await this.pollLoadReport();
      await this.context.clock
        .sleep(constants.LOAD_POLL_INTERVAL_MS, signal)
        .catch(() => undefined);
    }
  }

  /** Starts, adopts or resumes a run, or answers why not; with `isBypassing` no new run starts. */
  dispatch(dispatch: messages.DispatchRequest, isBypassing = false): messages.DispatchAnswer {
    const { snapshot } = dispatch;
    const existing = this.runs.get(snapshot.request.requestId);
    if (existing !== undefined && existing.attempt >= snapshot.attempt) {
      return this.answer(messages.DispatchVerdict.Superseded, "the attempt is stale", existing);
    }
    if (existing !== undefined && this.tryAdopt(existing, dispatch)) {
      return this.answer(messages.DispatchVerdict.Admitted, "the run continues", existing);
    }
    if (existing !== undefined && !existing.isEnded) {
      const { engineName, resumeAttempt } = dispatch;
      const keptStream =
        resumeAttempt === null ? null : { engineName, engineAttempt: resumeAttempt };
      this.runs.delete(existing.requestId);
      this.dropRun(existing, keptStream);
    }
    if (dispatch.resumeAttempt === null) {
      const refusal = this.checkAdmission(snapshot);
      if (refusal !== null) return refusal;
      if (isBypassing)
        return this.answer(messages.DispatchVerdict.Wait, "a request at least as urgent waits");
    }
    return this.startRun(dispatch);
  }

  /** Creates the engine's view, as sent to other VMs. */
  createView(nowMs: number): engines.EngineView {
    return { ...this.scheduler.view(nowMs), health: this.determineHealth() };
  }

  /** Returns the memory available to new work in tokens; 0 if the engine accepts none. */
  computeFreeTokens(nowMs: number): number {
    const { health, capacityTokens, reservedTokens } = this.createView(nowMs);
    const isUsable =
      health === engineTypes.EngineHealth.Live || health === engineTypes.EngineHealth.Suspect;
    return isUsable ? Math.floor(capacityTokens - reservedTokens) : 0;
  }

  get runningCount(): number {
    return [...this.runs.values()].filter((run) => !run.isEnded).length;
  }

  /** Whether the engine is live and has no active run. */
  isIdle(): boolean {
    return this.runningCount === 0 && this.determineHealth() === engineTypes.EngineHealth.Live;
  }

  /** Checks every run for silence, and forgets ended runs whose retention has expired. */
  checkTimeouts(nowMs: number): void {
    for (const run of [...this.runs.values()]) {
      run.checkProgress(this.stepTimeMs);
      if (run.isEnded && nowMs >= run.expiresAtMs) this.runs.delete(run.requestId);
    }
  }

  /** Stops runs that may not finish before the engine terminates; their owners place them again. */
  handOverRunsBeforeTermination(nowMs: number): void {
    const running = [...this.runs.values()].filter((run) => !run.isEnded);
    for (const run of this.terminationNotice.selectHandovers(running, this.stepTimeMs, nowMs)) {
      run.traceStep("engine.moved-away", "the run may not finish before the engine terminates");
      this.stopRun(run, messages.RunEndKind.EngineLeaving, "the engine shuts down");
    }
  }

  /** Ends a run, cancels its stream to free the engine's memory, and notifies the owner. */
  stopRun(run: engineRuns.EngineRun, kind: messages.RunEndKind, reason: string): void {
    run.end(kind, reason);
    void this.client.cancel(run.requestId, run.engineAttempt);
  }

  /** Ends a run that its owner has cancelled. */
  cancel(cancel: messages.CancelRequest): void {
    const run = this.runs.get(cancel.requestId);
    if (run?.attempt !== cancel.attempt) return;
    this.runs.delete(cancel.requestId);
    if (run.isEnded) return;
    this.dropRun(run, cancel.keptStream);
    this.observer.onCapacityAvailable(this);
  }

  /** Stops reading a run; cancels its stream, unless another run has resumed it. */
  private dropRun(
    run: engineRuns.EngineRun,
    keptStream: Pick<messages.RunLocation, "engineName" | "engineAttempt"> | null,
  ): void {
    const isStreamKept =
      keptStream?.engineName === run.engineName && keptStream.engineAttempt === run.engineAttempt;
    run.drop();
    if (!isStreamKept) void this.client.cancel(run.requestId, run.engineAttempt);
    this.scheduler.onEnded(run.requestId, this.context.clock.nowMs(), false);
  }

  onFrame(run: engineRuns.EngineRun, frame: types.TokenFrame): void {
    this.scheduler.onProgress(run.requestId, run.tokens.length, this.context.clock.nowMs());
    this.observer.onFrame(run, frame);
  }

  onFinished(run: engineRuns.EngineRun): void {
    const nowMs = this.context.clock.nowMs();
    run.expiresAtMs = nowMs + run.request.entry.keepFinishedMs;
    this.scheduler.onEnded(run.requestId, nowMs, true);
    this.observer.onCapacityAvailable(this);
  }

  onEnded(run: engineRuns.EngineRun, kind: messages.RunEndKind, reason: string): void {
    this.scheduler.onEnded(run.requestId, this.context.clock.nowMs(), false);
    if (this.runs.get(run.requestId) === run) this.runs.delete(run.requestId);
    if (kind === messages.RunEndKind.EngineLost || kind === messages.RunEndKind.EngineStalled) {
      this.missedReportsCount = Math.max(this.missedReportsCount, 1);
    }
    this.observer.onRunEnded(run, kind, reason);
    this.observer.onCapacityAvailable(this);
  }

  [Symbol.dispose](): void {
    this.polling.abort();
  }

  private async pollLoadReport(): Promise<void> {
    const timeout = new AbortController();
    const timedOut = this.context.clock
      .sleep(constants.LOAD_REPORT_TIMEOUT_MS, timeout.signal)
      .then(() => null)
      .catch(() => null);
    const report = await Promise.race([this.client.loadReport(), timedOut]);
    timeout.abort();
    if (report?.isOk() !== true) {
      this.missedReportsCount += 1;
      return;
    }
    this.missedReportsCount = 0;
    this.applyReport(report.value);
  }

  private applyReport(report: backends.EngineLoadReport): void {
    const nowMs = this.context.clock.nowMs();
    this.stepTimeMs = report.stepTimeMs;
    this.scheduler.onLoadReport(report, nowMs);
    this.countPreemptions(report);
    if (report.leavingInMs !== null)
      this.terminationNotice.recordNotice(nowMs + report.leavingInMs);
    this.handOverRunsBeforeTermination(nowMs);
    for (const requestId of this.scheduler.selectSuspensions(nowMs)) this.suspend(requestId);
    this.observer.onCapacityAvailable(this);
  }

  private countPreemptions(report: backends.EngineLoadReport): void {
    const newCount = report.preemptionsCount - (this.preemptionsCount ?? report.preemptionsCount);
    this.preemptionsCount = report.preemptionsCount;
    if (newCount > 0) this.context.metrics.increment("generations.preemptions", newCount);
    for (const reported of report.running) {
      const run = this.runs.get(reported.requestId);
      if (run?.engineAttempt === reported.attempt) run.isPreempted = reported.isPreempted;
    }
  }

  private suspend(requestId: string): void {
    const run = this.runs.get(requestId);
    if (run === undefined || run.isEnded) return;
    this.context.metrics.increment("generations.suspensions");
    run.traceStep("engine.suspended", "the engine's memory would run out");
    this.stopRun(run, messages.RunEndKind.Suspended, "suspended to free memory");
  }

  /** Assigns an existing run to a new attempt if it has the owner's tokens and sampling. */
  private tryAdopt(run: engineRuns.EngineRun, dispatch: messages.DispatchRequest): boolean {
    const isSameSampling = run.samplingAttempt === dispatch.snapshot.samplingAttempt;
    if (!isSameSampling || run.tokens.length < dispatch.snapshot.tokens.length) return false;
    run.adopt(dispatch.snapshot.attempt, dispatch.snapshot.ownerVm);
    run.resend(dispatch.snapshot.tokens.length);
    return true;
  }

  /** Returns why the engine does not admit new work; null if it does. */
  private checkAdmission(snapshot: messages.GenerationSnapshot): messages.DispatchAnswer | null {
    const health = this.determineHealth();
    if (health === engineTypes.EngineHealth.Leaving || health === engineTypes.EngineHealth.Dead) {
      return this.answer(
        messages.DispatchVerdict.Unavailable,
        `engine ${this.engine.name} is ${health}`,
      );
    }
    const nowMs = this.context.clock.nowMs();
    const decision = this.scheduler.admit(this.createNeedOf(snapshot, nowMs), nowMs);
    if (decision.verdict === engineTypes.AdmissionVerdict.Admit) return null;
    const verdict =
      decision.verdict === engineTypes.AdmissionVerdict.Wait
        ? messages.DispatchVerdict.Wait
        : messages.DispatchVerdict.Refused;
    return this.answer(verdict, decision.reason, undefined, decision.estimatedWaitMs);
  }

  private startRun(dispatch: messages.DispatchRequest): messages.DispatchAnswer {
    const nowMs = this.context.clock.nowMs();
    const run = new engineRuns.EngineRun(this.context, this.client, this, dispatch);
    this.runs.set(run.requestId, run);
    this.scheduler.onStarted(this.createNeedOf(dispatch.snapshot, nowMs), nowMs);
    run.traceStep(
      dispatch.resumeAttempt === null ? "engine.started" : "engine.resumed",
      `attempt ${run.attempt} from offset ${run.tokens.length}`,
    );
    void run.readUntilEnded();
    return this.answer(messages.DispatchVerdict.Admitted, "started", run);
  }

  private createNeedOf(
    snapshot: messages.GenerationSnapshot,
    nowMs: number,
  ): engines.GenerationNeed {
    const remainingMs = snapshot.request.deadlineAtWallMs - this.context.clock.wallTimeMs();
    return engineRequests.createNeed(snapshot.request, snapshot.tokens.length, {
      acceptedAtMs: nowMs,
      deadlineAtMs: nowMs + remainingMs,
      suspensionsCount: snapshot.suspensionsCount,
    });
  }

  private determineHealth(): engineTypes.EngineHealth {
    if (this.terminationNotice.isReceived || this.isDrained())
      return engineTypes.EngineHealth.Leaving;
    if (this.missedReportsCount >= constants.MISSED_REPORTS_COUNT) {
      return engineTypes.EngineHealth.Dead;
    }
    if (this.missedReportsCount > 0) return engineTypes.EngineHealth.Suspect;
    return engineTypes.EngineHealth.Live;
  }

  /** Whether operators drain the engine; unlike a termination notice this can be withdrawn. */
  private isDrained(): boolean {
    const item = this.context.catalogue.current().items.get(`engine/${this.engine.name}`)?.item;
    if (item?.kind !== catalogueTypes.ItemKind.Engine) return true;
    return item.state === catalogueTypes.DesiredState.Draining;
  }

  private answer(
    verdict: messages.DispatchVerdict,
    reason: string,
    run?: engineRuns.EngineRun,
    estimatedWaitMs = constants.WAITING_RETRY_MS,
  ): messages.DispatchAnswer {
    const attempt = run?.attempt ?? 0;
    const ownerVm = run?.ownerVm ?? this.context.link.selfName;
    return { verdict, reason, estimatedWaitMs, attempt, ownerVm };
  }
}

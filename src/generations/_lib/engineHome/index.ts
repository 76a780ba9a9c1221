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
import * as leavingNotices from "../leavingNotice/index.js";
import * as messages from "../messages/index.js";

/** What an engine's home tells the rest of the service. */
export interface HomeObserver {
  onFrame(run: engineRuns.EngineRun, frame: types.TokenFrame): void;
  onRunEnded(run: engineRuns.EngineRun, kind: messages.RunEndKind, reason: string): void;
  /** Memory became free, or an engine can be used again. */
  onRoom(home: EngineHome): void;
}

/** Everything that this VM does as the home of one engine. */
export class EngineHome implements engineRuns.RunObserver, Disposable {
  readonly client: backends.EngineClient;
  readonly leaving = new leavingNotices.LeavingNotice();
  /** Runs under way and those kept after their end, by request. */
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

  /** Asks for load reports until disposed. */
  async poll(): Promise<void> {
    const { signal } = this.polling;
    while (!signal.aborted) {
      await this.pollOnce();
      await this.context.clock
        .sleep(constants.LOAD_POLL_INTERVAL_MS, signal)
        .catch(() => undefined);
    }
  }

  /** Runs the work, or says why not. */
  dispatch(dispatch: messages.DispatchRequest, isOvertaking = false): messages.DispatchAnswer {
    const { snapshot } = dispatch;
    const existing = this.runs.get(snapshot.request.requestId);
    if (existing !== undefined && existing.attempt >= snapshot.attempt) {
      return this.answer(messages.DispatchVerdict.Superseded, "a newer attempt runs", existing);
    }
    if (existing !== undefined && this.adoptExisting(existing, dispatch)) {
      return this.answer(messages.DispatchVerdict.Admitted, "the run goes on", existing);
    }
    if (existing !== undefined && !existing.isEnded) {
      const { engineName, resumeAttempt } = dispatch;
      const kept = resumeAttempt === null ? null : { engineName, engineAttempt: resumeAttempt };
      this.runs.delete(existing.requestId);
      this.dropRun(existing, kept);
    }
    if (dispatch.resumeAttempt === null) {
      const refusal = this.checkAdmission(snapshot);
      if (refusal !== null) return refusal;
      if (isOvertaking) return this.answer(messages.DispatchVerdict.Wait, "more urgent work waits");
    }
    return this.startRun(dispatch);
  }

  view(nowMs: number): engines.EngineView {
    return { ...this.scheduler.view(nowMs), health: this.health() };
  }

  /** Memory that new work may take now; none where the engine takes no work. */
  freeTokens(nowMs: number): number {
    const { health, capacityTokens, reservedTokens } = this.view(nowMs);
    const isUsable =
      health === engineTypes.EngineHealth.Live || health === engineTypes.EngineHealth.Suspect;
    return isUsable ? Math.floor(capacityTokens - reservedTokens) : 0;
  }

  get runningCount(): number {
    return [...this.runs.values()].filter((run) => !run.isEnded).length;
  }

  /** Whether the engine runs nothing and can take work. */
  isIdle(): boolean {
    return this.runningCount === 0 && this.health() === engineTypes.EngineHealth.Live;
  }

  /** Checks every run for silence, and forgets those kept long enough. */
  watch(nowMs: number): void {
    for (const run of [...this.runs.values()]) {
      run.checkProgress(this.stepTimeMs);
      if (run.isEnded && nowMs >= run.expiresAtMs) this.runs.delete(run.requestId);
    }
  }

  /** Moves away the runs that will not end before the engine leaves, the longest expected first. */
  moveAwayFromLeaving(nowMs: number): void {
    const running = [...this.runs.values()].filter((run) => !run.isEnded);
    for (const run of this.leaving.selectMoves(running, this.stepTimeMs, nowMs)) {
      run.record("engine.moved-away", "the engine leaves before the generation would end");
      this.stopRun(run, messages.RunEndKind.EngineLeaving, "the engine leaves");
    }
  }

  /** Stops a run, frees the engine's memory and hands the work back to its owner. */
  stopRun(run: engineRuns.EngineRun, kind: messages.RunEndKind, reason: string): void {
    run.end(kind, reason);
    void this.client.cancel(run.requestId, run.engineAttempt);
  }

  /** Ends a run that its owner no longer wants. */
  cancel(cancel: messages.CancelRequest): void {
    const run = this.runs.get(cancel.requestId);
    if (run?.attempt !== cancel.attempt) return;
    this.runs.delete(cancel.requestId);
    if (run.isEnded) return;
    this.dropRun(run, cancel.keptStream);
    this.observer.onRoom(this);
  }

  /** Stops reading a run; its stream is cancelled, unless another run has taken it up. */
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
    this.observer.onRoom(this);
  }

  onEnded(run: engineRuns.EngineRun, kind: messages.RunEndKind, reason: string): void {
    this.scheduler.onEnded(run.requestId, this.context.clock.nowMs(), false);
    if (this.runs.get(run.requestId) === run) this.runs.delete(run.requestId);
    if (kind === messages.RunEndKind.EngineLost || kind === messages.RunEndKind.EngineStalled) {
      this.missedReportsCount = Math.max(this.missedReportsCount, 1);
    }
    this.observer.onRunEnded(run, kind, reason);
    this.observer.onRoom(this);
  }

  [Symbol.dispose](): void {
    this.polling.abort();
  }

  private async pollOnce(): Promise<void> {
    const timeout = new AbortController();
    const late = this.context.clock
      .sleep(constants.LOAD_REPORT_TIMEOUT_MS, timeout.signal)
      .then(() => null)
      .catch(() => null);
    const report = await Promise.race([this.client.loadReport(), late]);
    timeout.abort();
    if (report?.isOk() !== true) {
      this.missedReportsCount += 1;
      return;
    }
    this.missedReportsCount = 0;
    this.takeReport(report.value);
  }

  private takeReport(report: backends.EngineLoadReport): void {
    const nowMs = this.context.clock.nowMs();
    this.stepTimeMs = report.stepTimeMs;
    this.scheduler.onLoadReport(report, nowMs);
    this.countPreemptions(report);
    if (report.leavingInMs !== null) this.leaving.note(nowMs + report.leavingInMs);
    this.moveAwayFromLeaving(nowMs);
    for (const requestId of this.scheduler.selectSuspensions(nowMs)) this.suspend(requestId);
    this.observer.onRoom(this);
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
    run.record("engine.suspended", "the engine's memory would run out");
    this.stopRun(run, messages.RunEndKind.Suspended, "suspended to free memory");
  }

  private adoptExisting(run: engineRuns.EngineRun, dispatch: messages.DispatchRequest): boolean {
    const isSameSampling = run.samplingAttempt === dispatch.snapshot.samplingAttempt;
    if (!isSameSampling || run.tokens.length < dispatch.snapshot.tokens.length) return false;
    run.adopt(dispatch.snapshot.attempt, dispatch.snapshot.ownerVm);
    run.resend(dispatch.snapshot.tokens.length);
    return true;
  }

  private checkAdmission(snapshot: messages.GenerationSnapshot): messages.DispatchAnswer | null {
    const health = this.health();
    if (health === engineTypes.EngineHealth.Leaving || health === engineTypes.EngineHealth.Dead) {
      return this.answer(messages.DispatchVerdict.Unavailable, `the engine is ${health}`);
    }
    const nowMs = this.context.clock.nowMs();
    const decision = this.scheduler.admit(this.needOf(snapshot, nowMs), nowMs);
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
    this.scheduler.onStarted(this.needOf(dispatch.snapshot, nowMs), nowMs);
    run.record(
      dispatch.resumeAttempt === null ? "engine.started" : "engine.resumed",
      `attempt ${run.attempt} from offset ${run.tokens.length}`,
    );
    void run.run();
    return this.answer(messages.DispatchVerdict.Admitted, "started", run);
  }

  private needOf(snapshot: messages.GenerationSnapshot, nowMs: number): engines.GenerationNeed {
    const leftMs = snapshot.request.deadlineAtWallMs - this.context.clock.wallTimeMs();
    return engineRequests.createNeed(snapshot.request, snapshot.tokens.length, {
      acceptedAtMs: nowMs,
      deadlineAtMs: nowMs + leftMs,
      suspensionsCount: snapshot.suspensionsCount,
    });
  }

  private health(): engineTypes.EngineHealth {
    if (this.leaving.isNoted || this.isDrained()) return engineTypes.EngineHealth.Leaving;
    if (this.missedReportsCount >= constants.MISSED_REPORTS_COUNT) {
      return engineTypes.EngineHealth.Dead;
    }
    if (this.missedReportsCount > 0) return engineTypes.EngineHealth.Suspect;
    return engineTypes.EngineHealth.Live;
  }

  /** What operators say is followed both ways; signs from elsewhere stay noted. */
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

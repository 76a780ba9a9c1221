import type * as backends from "../../backends/types.js";
import * as catalogue from "../../catalogue/types.js";
import * as forecasts from "../_lib/memoryForecast/index.js";
import * as prefillLoads from "../_lib/prefillLoad/index.js";
import * as runningTables from "../_lib/runningTable/index.js";
import * as safetyMargins from "../_lib/safetyMargin/index.js";
import * as stepTimes from "../_lib/stepTimes/index.js";
import * as constants from "../constants.js";
import * as types from "../types.js";
import * as victims from "../selectVictims/index.js";

/** What a scheduler needs to know about its engine and its surroundings. */
export interface EngineSchedulerOptions {
  readonly engineName: string;
  readonly dataCentre: string;
  readonly capacityTokens: number;
  readonly maxRunningCount: number;
  readonly lengths: types.LengthEstimator;
  /** Bound between tokens of a watched entry in milliseconds; null where it states none. */
  readonly interTokenBoundMsOf: (entryName: string) => number | null;
}

const ADMITTED: types.AdmissionDecision = {
  verdict: types.AdmissionVerdict.Admit,
  reason: "memory suffices for the expected growth",
  estimatedWaitMs: 0,
};

/** What a home knows about one engine, and its decisions about admission and suspension. */
export class EngineScheduler implements types.EngineScheduler {
  private readonly table: runningTables.RunningTable;
  private readonly margin = new safetyMargins.SafetyMargin();
  private readonly prefillLoad = new prefillLoads.PrefillLoad();
  private readonly steps = new stepTimes.StepTimes();
  private readonly candidate = forecasts.createMemoryShare();
  /** How often this home suspended what has not ended since; the oldest are forgotten. */
  private readonly suspensionCounts = new Map<string, number>();
  private report: backends.EngineLoadReport | null = null;
  private foreignTokens = 0;
  /** When generations ended here; lagging reports still list them. */
  private readonly endedAtMs = new Map<string, number>();
  private reportedAtMs = 0;
  private waitedAtMs = -Infinity;
  private watchedWaitedAtMs = -Infinity;

  constructor(private readonly options: EngineSchedulerOptions) {
    this.table = new runningTables.RunningTable(options.lengths, options.interTokenBoundMsOf);
  }

  /** The safety margin in use, in standard deviations. */
  get marginDeviations(): number {
    return this.margin.deviations;
  }

  admit(need: types.GenerationNeed, nowMs: number): types.AdmissionDecision {
    const blocked = this.blockedReason(need, nowMs);
    if (blocked === null) return ADMITTED;
    this.waitedAtMs = nowMs;
    return this.waitOrRefuse(need, nowMs, blocked);
  }

  onStarted(need: types.GenerationNeed, nowMs: number): void {
    const ownCount = this.suspensionCounts.get(need.requestId) ?? 0;
    this.table.add(need, nowMs, Math.max(ownCount, need.suspensionsCount ?? 0));
    const isUnwatched = need.class === catalogue.RequestClass.Batch;
    if (isUnwatched) this.prefillLoad.add(need.promptTokens, nowMs);
  }

  onProgress(requestId: string, producedTokens: number, nowMs: number): void {
    this.table.progress(requestId, producedTokens, nowMs);
  }

  onEnded(requestId: string, nowMs: number, isWhole: boolean): void {
    const record = this.table.remove(requestId);
    this.endedAtMs.set(requestId, nowMs);
    if (record === undefined || !isWhole) return;
    this.suspensionCounts.delete(requestId);
    this.options.lengths.observe(record.need, record.producedTokens);
    const hasWorkWaited = nowMs - this.waitedAtMs < constants.WAITING_MEMORY_MS;
    const idleRatio = 1 - this.usedTokens() / this.options.capacityTokens;
    if (hasWorkWaited) this.margin.onEndedWhileWorkWaited(idleRatio);
  }

  onLoadReport(report: backends.EngineLoadReport, nowMs: number): void {
    if (this.report !== null && report.takenAtMs <= this.report.takenAtMs) return;
    const preemptedCount = report.preemptionsCount - (this.report?.preemptionsCount ?? 0);
    if (this.report !== null && preemptedCount > 0) this.margin.onInterruptions(preemptedCount);
    this.report = report;
    this.reportedAtMs = nowMs;
    this.steps.observe(report.stepTimeMs, report.runningCount);
    this.forgetEndedBefore(nowMs - constants.REPORT_LAG_LIMIT_MS);
    this.foreignTokens = this.foreignTokensIn(report);
  }

  selectSuspensions(nowMs: number): readonly string[] {
    const growthTokens = this.table.count * constants.SUSPEND_LOOKAHEAD_STEPS;
    const limitTokens = this.options.capacityTokens * constants.SUSPEND_AT_RATIO;
    const excessTokens = this.usedTokens() + growthTokens - limitTokens;
    if (excessTokens <= 0) return [];
    const tokensToFree = excessTokens + this.table.count * constants.SUSPEND_RELIEF_STEPS;
    const chosen = victims.selectVictims(this.table.list(), tokensToFree);
    for (const requestId of chosen) this.countSuspension(requestId);
    this.margin.onInterruptions(chosen.length);
    this.waitedAtMs = nowMs;
    return chosen;
  }

  running(): readonly types.RunningGeneration[] {
    return this.table.list();
  }

  view(nowMs: number): types.EngineView {
    return {
      name: this.options.engineName,
      dataCentre: this.options.dataCentre,
      health: this.health(),
      capacityTokens: this.options.capacityTokens,
      reservedTokens: this.foreignTokens + this.table.forecast.peakTokens(this.margin.deviations),
      runningCount: this.table.count,
      waitingCount: 0,
      stepTimeMs: this.steps.stepTimeMs,
      loadedModels: this.report?.loadedModels ?? [],
      ageMs: Math.max(0, nowMs - this.reportedAtMs),
      sentSinceTokens: 0,
      sentSinceCount: 0,
      streamingCount: this.table.streamingCount,
      prefillRatio: this.prefillLoad.ratio(nowMs),
    };
  }

  /** Why the work cannot start now; null when it can. */
  private blockedReason(need: types.GenerationNeed, nowMs: number): string | null {
    if (this.health() !== types.EngineHealth.Live) return "the engine is leaving";
    if (!this.keepsPromptsApart(need, nowMs)) return "long prompts and watched work are kept apart";
    if (this.table.count === 0) return null;
    if (this.table.count >= this.options.maxRunningCount) return "the batch is full";
    if (!this.keepsInterTokenBound(need)) return "one more would slow down watched generations";
    if (!this.hasPrefillRoom(need)) return "prompts are waiting for prefill";
    this.fillCandidate(need);
    const limitTokens = this.limitTokensFor(need);
    const deviations = this.deviationsFor(need);
    if (this.table.forecast.hasRoomFor(this.candidate, deviations, limitTokens)) return null;
    return "memory would not suffice for the expected growth";
  }

  private waitOrRefuse(
    need: types.GenerationNeed,
    nowMs: number,
    reason: string,
  ): types.AdmissionDecision {
    const estimatedWaitMs = this.estimateWaitMs(need);
    const runMs = this.shortestRunMs(need);
    const isLate = nowMs + estimatedWaitMs + runMs > need.deadlineAtMs;
    const mayRefuse = need.producedTokens === 0;
    const verdict =
      isLate && mayRefuse ? types.AdmissionVerdict.Refuse : types.AdmissionVerdict.Wait;
    return { verdict, reason, estimatedWaitMs };
  }

  private estimateWaitMs(need: types.GenerationNeed): number {
    this.fillCandidate(need);
    const steps = this.table.forecast.stepsUntilRoomFor(
      this.candidate,
      this.deviationsFor(need),
      this.limitTokensFor(need),
    );
    if (steps === null) return constants.MAX_ESTIMATED_WAIT_MS;
    const waitMs = Math.max(steps, constants.NEXT_END_STEPS) * this.steps.stepTimeMs;
    return Math.min(constants.MAX_ESTIMATED_WAIT_MS, waitMs);
  }

  /** Time that the generation needs even if its output turns out short. */
  private shortestRunMs(need: types.GenerationNeed): number {
    const shortProbability = 0.1;
    const lengths = this.options.lengths.distributionFor(need);
    const tokens = lengths.residualQuantile(need.producedTokens, need.maxTokens, shortProbability);
    return tokens * this.steps.stepTimeMs;
  }

  private fillCandidate(need: types.GenerationNeed): void {
    forecasts.fillMemoryShare(this.candidate, {
      lengths: this.options.lengths.distributionFor(need),
      contextTokens: need.promptTokens + need.producedTokens,
      producedTokens: need.producedTokens,
      maxTokens: need.maxTokens,
    });
  }

  /** People who wait are not kept out by a margin that only protects what may wait. */
  private deviationsFor(need: types.GenerationNeed): number {
    const isInteractive = need.class === catalogue.RequestClass.Interactive;
    const { deviations } = this.margin;
    return isInteractive ? Math.min(deviations, constants.INTERACTIVE_DEVIATIONS) : deviations;
  }

  private limitTokensFor(need: types.GenerationNeed): number {
    const isInteractive = need.class === catalogue.RequestClass.Interactive;
    const headroomRatio = isInteractive ? 0 : constants.INTERACTIVE_HEADROOM_RATIO;
    const plannedRatio = 1 - constants.UNPLANNED_RATIO - headroomRatio;
    return this.options.capacityTokens * plannedRatio - this.foreignTokens;
  }

  private keepsInterTokenBound(need: types.GenerationNeed): boolean {
    const ownBoundMs = this.options.interTokenBoundMsOf(need.entryName) ?? Infinity;
    const boundMs = Math.min(ownBoundMs, this.table.lowestBoundMs);
    if (boundMs === Infinity) return true;
    return this.steps.stepTimeWithMs(this.table.count + 1) <= boundMs;
  }

  /**
   * Long prompts slow down every step, so they and watched work are kept on different engines, for
   * as long as no watched work has to wait for that.
   */
  private keepsPromptsApart(need: types.GenerationNeed, nowMs: number): boolean {
    const waitedMs = nowMs - need.acceptedAtMs;
    const prefillRatio = this.prefillLoad.ratio(nowMs);
    const isPromptEngine = prefillRatio >= constants.PREFILL_ENGINE_RATIO;
    if (need.class === catalogue.RequestClass.Streaming) {
      if (waitedMs >= constants.WATCHED_PATIENCE_MS) this.watchedWaitedAtMs = nowMs;
      return !isPromptEngine || this.isSeparationPaused(nowMs);
    }
    const isLong = need.promptTokens >= constants.LONG_PROMPT_TOKENS;
    if (need.class === catalogue.RequestClass.Interactive || !isLong) return true;
    if (waitedMs >= constants.BATCH_PATIENCE_MS || this.table.streamingCount === 0) return true;
    return isPromptEngine || this.isSeparationPaused(nowMs);
  }

  private isSeparationPaused(nowMs: number): boolean {
    return nowMs - this.watchedWaitedAtMs < constants.SEPARATION_PAUSE_MS;
  }

  private hasPrefillRoom(need: types.GenerationNeed): boolean {
    if (need.class === catalogue.RequestClass.Interactive) return true;
    if (this.table.pendingPrefillTokens === 0) return true;
    const pendingTokens = this.table.pendingPrefillTokens + need.promptTokens;
    return pendingTokens <= constants.MAX_PENDING_PREFILL_TOKENS;
  }

  private usedTokens(): number {
    return this.table.contextTokens + this.foreignTokens;
  }

  /** Memory that the engine spends on work that is not this home's. */
  private foreignTokensIn(report: backends.EngineLoadReport): number {
    let tokens = 0;
    for (const run of report.running) {
      const isOwn = this.table.has(run.requestId) || this.endedAtMs.has(run.requestId);
      if (!isOwn) tokens += run.contextTokens;
    }
    return tokens;
  }

  private countSuspension(requestId: string): void {
    const count = this.table.suspensionsOf(requestId) + 1;
    this.suspensionCounts.delete(requestId);
    this.suspensionCounts.set(requestId, count);
    if (this.suspensionCounts.size <= constants.MAX_REMEMBERED_SUSPENSIONS) return;
    const oldest = this.suspensionCounts.keys().next();
    if (oldest.done !== true) this.suspensionCounts.delete(oldest.value);
  }

  private forgetEndedBefore(limitMs: number): void {
    for (const [requestId, endedAtMs] of this.endedAtMs) {
      if (endedAtMs >= limitMs) return;
      this.endedAtMs.delete(requestId);
    }
  }

  private health(): types.EngineHealth {
    const isLeaving = this.report !== null && this.report.leavingInMs !== null;
    return isLeaving ? types.EngineHealth.Leaving : types.EngineHealth.Live;
  }
}

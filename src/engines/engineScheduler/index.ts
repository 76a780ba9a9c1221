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

/** Properties of an engine, and estimators that its scheduler uses. */
export interface EngineSchedulerOptions {
  readonly engineName: string;
  readonly dataCentre: string;
  readonly capacityTokens: number;
  readonly maxRunningCount: number;
  readonly lengths: types.LengthEstimator;
  /** Bound of an entry on the time between tokens, in milliseconds; null if it states none. */
  readonly interTokenBoundMsOf: (entryName: string) => number | null;
}

const ADMITTED: types.AdmissionDecision = {
  verdict: types.AdmissionVerdict.Admit,
  reason: "memory suffices for the expected growth",
  estimatedWaitMs: 0,
};

/** Decides admission and suspension for one engine, from its running generations and reports. */
export class EngineScheduler implements types.EngineScheduler {
  private readonly table: runningTables.RunningTable;
  private readonly margin = new safetyMargins.SafetyMargin();
  private readonly prefillLoad = new prefillLoads.PrefillLoad();
  private readonly steps = new stepTimes.StepTimes();
  private readonly candidateShare = forecasts.createMemoryShare();
  /** Count of suspensions by this home per unfinished generation; the oldest are forgotten. */
  private readonly suspensionCounts = new Map<string, number>();
  private report: backends.EngineLoadReport | null = null;
  /** Memory of runs that the latest report lists and this home does not know. */
  private foreignTokens = 0;
  /** When runs ended here, by request id; delayed reports may still list them. */
  private readonly endedAtMs = new Map<string, number>();
  private reportedAtMs = 0;
  /** When a generation was last blocked or suspended. */
  private lastBlockedAtMs = -Infinity;
  /** When streaming work last had waited too long for an engine without heavy prefill load. */
  private lastStreamingDelayAtMs = -Infinity;

  constructor(private readonly options: EngineSchedulerOptions) {
    this.table = new runningTables.RunningTable(options.lengths, options.interTokenBoundMsOf);
  }

  /** The safety margin in use, in standard deviations. */
  get marginDeviations(): number {
    return this.margin.deviations;
  }

  admit(need: types.GenerationNeed, nowMs: number): types.AdmissionDecision {
    const blocked = this.findBlockingReason(need, nowMs);
    if (blocked === null) return ADMITTED;
    this.lastBlockedAtMs = nowMs;
    return this.decideWaitOrRefuse(need, nowMs, blocked);
  }

  onStarted(need: types.GenerationNeed, nowMs: number): void {
    const ownCount = this.suspensionCounts.get(need.requestId) ?? 0;
    this.table.add(need, nowMs, Math.max(ownCount, need.suspensionsCount ?? 0));
    const isBatch = need.class === catalogue.RequestClass.Batch;
    if (isBatch) this.prefillLoad.add(need.promptTokens, nowMs);
  }

  onProgress(requestId: string, producedTokens: number, nowMs: number): void {
    this.table.recordProgress(requestId, producedTokens, nowMs);
  }

  onEnded(requestId: string, nowMs: number, isComplete: boolean): void {
    const record = this.table.remove(requestId);
    this.endedAtMs.set(requestId, nowMs);
    if (record === undefined || !isComplete) return;
    this.suspensionCounts.delete(requestId);
    this.options.lengths.observe(record.need, record.producedTokens);
    const hasWorkWaited = nowMs - this.lastBlockedAtMs < constants.WAITING_WORK_RETENTION_MS;
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
    this.foreignTokens = this.countForeignTokens(report);
  }

  selectSuspensions(nowMs: number): readonly string[] {
    const growthTokens = this.table.count * constants.SUSPENSION_LOOKAHEAD_STEPS;
    const limitTokens = this.options.capacityTokens * constants.SUSPENSION_USED_RATIO;
    const excessTokens = this.usedTokens() + growthTokens - limitTokens;
    if (excessTokens <= 0) return [];
    const tokensToFree = excessTokens + this.table.count * constants.SUSPENSION_RELIEF_STEPS;
    const suspendedIds = victims.selectVictims(this.table.list(), tokensToFree);
    for (const requestId of suspendedIds) this.countSuspension(requestId);
    this.margin.onInterruptions(suspendedIds.length);
    this.lastBlockedAtMs = nowMs;
    return suspendedIds;
  }

  listRunning(): readonly types.RunningGeneration[] {
    return this.table.list();
  }

  view(nowMs: number): types.EngineView {
    return {
      name: this.options.engineName,
      dataCentre: this.options.dataCentre,
      health: this.health(),
      capacityTokens: this.options.capacityTokens,
      reservedTokens:
        this.foreignTokens + this.table.forecast.computePeakTokens(this.margin.deviations),
      runningCount: this.table.count,
      waitingCount: 0,
      stepTimeMs: this.steps.stepTimeMs,
      loadedModels: this.report?.loadedModels ?? [],
      ageMs: Math.max(0, nowMs - this.reportedAtMs),
      sentSinceTokens: 0,
      sentSinceCount: 0,
      streamingCount: this.table.streamingCount,
      prefillRatio: this.prefillLoad.computeRatio(nowMs),
    };
  }

  /** Returns the reason why a generation cannot start now; null if it can. */
  private findBlockingReason(need: types.GenerationNeed, nowMs: number): string | null {
    if (this.health() !== types.EngineHealth.Live) return "the engine is leaving";
    if (!this.isSeparationKept(need, nowMs))
      return "long prompts and streaming work are kept on different engines";
    if (this.table.count === 0) return null;
    if (this.table.count >= this.options.maxRunningCount) return "the batch is full";
    if (!this.isInterTokenBoundKept(need))
      return "one more generation would exceed the bound on the time between tokens";
    if (!this.hasPrefillCapacity(need)) return "too many prompt tokens are waiting for prefill";
    this.computeCandidateShare(need);
    const limitTokens = this.computeLimitTokens(need);
    const deviations = this.selectDeviations(need);
    if (this.table.forecast.hasCapacityFor(this.candidateShare, deviations, limitTokens))
      return null;
    return "memory would not suffice for the expected growth";
  }

  private decideWaitOrRefuse(
    need: types.GenerationNeed,
    nowMs: number,
    reason: string,
  ): types.AdmissionDecision {
    const estimatedWaitMs = this.estimateWaitMs(need);
    const runMs = this.estimateShortRunMs(need);
    const isLate = nowMs + estimatedWaitMs + runMs > need.deadlineAtMs;
    const canBeRefused = need.producedTokens === 0;
    const verdict =
      isLate && canBeRefused ? types.AdmissionVerdict.Refuse : types.AdmissionVerdict.Wait;
    return { verdict, reason, estimatedWaitMs };
  }

  private estimateWaitMs(need: types.GenerationNeed): number {
    this.computeCandidateShare(need);
    const steps = this.table.forecast.estimateStepsUntilCapacity(
      this.candidateShare,
      this.selectDeviations(need),
      this.computeLimitTokens(need),
    );
    if (steps === null) return constants.MAX_ESTIMATED_WAIT_MS;
    const waitMs = Math.max(steps, constants.MIN_CAPACITY_WAIT_STEPS) * this.steps.stepTimeMs;
    return Math.min(constants.MAX_ESTIMATED_WAIT_MS, waitMs);
  }

  /** Estimates the run time of a generation whose output length is at the first decile. */
  private estimateShortRunMs(need: types.GenerationNeed): number {
    const shortProbability = 0.1;
    const lengths = this.options.lengths.distributionFor(need);
    const tokens = lengths.residualQuantile(need.producedTokens, need.maxTokens, shortProbability);
    return tokens * this.steps.stepTimeMs;
  }

  private computeCandidateShare(need: types.GenerationNeed): void {
    forecasts.fillMemoryShare(this.candidateShare, {
      lengths: this.options.lengths.distributionFor(need),
      contextTokens: need.promptTokens + need.producedTokens,
      producedTokens: need.producedTokens,
      maxTokens: need.maxTokens,
    });
  }

  /**
   * Selects the margin; lower for interactive work, as the full one only protects work that can
   * wait.
   */
  private selectDeviations(need: types.GenerationNeed): number {
    const isInteractive = need.class === catalogue.RequestClass.Interactive;
    const { deviations } = this.margin;
    return isInteractive
      ? Math.min(deviations, constants.MAX_INTERACTIVE_MARGIN_DEVIATIONS)
      : deviations;
  }

  private computeLimitTokens(need: types.GenerationNeed): number {
    const isInteractive = need.class === catalogue.RequestClass.Interactive;
    const headroomRatio = isInteractive ? 0 : constants.INTERACTIVE_HEADROOM_RATIO;
    const plannedRatio = 1 - constants.UNALLOCATED_RATIO - headroomRatio;
    return this.options.capacityTokens * plannedRatio - this.foreignTokens;
  }

  private isInterTokenBoundKept(need: types.GenerationNeed): boolean {
    const ownBoundMs = this.options.interTokenBoundMsOf(need.entryName) ?? Infinity;
    const boundMs = Math.min(ownBoundMs, this.table.lowestInterTokenBoundMs);
    if (boundMs === Infinity) return true;
    return this.steps.estimateStepTimeMs(this.table.count + 1) <= boundMs;
  }

  /**
   * Whether a generation respects the separation of long prompts and streaming work. Prefill of a
   * long prompt slows down every step of an engine, so the two are kept on different engines as
   * long as no streaming work has to wait for it.
   */
  private isSeparationKept(need: types.GenerationNeed, nowMs: number): boolean {
    const waitedMs = nowMs - need.acceptedAtMs;
    const prefillRatio = this.prefillLoad.computeRatio(nowMs);
    const isPrefillHeavy = prefillRatio >= constants.PREFILL_HEAVY_RATIO;
    if (need.class === catalogue.RequestClass.Streaming) {
      if (waitedMs >= constants.STREAMING_SEPARATION_WAIT_MS) this.lastStreamingDelayAtMs = nowMs;
      return !isPrefillHeavy || this.isSeparationPaused(nowMs);
    }
    const isLong = need.promptTokens >= constants.LONG_PROMPT_TOKENS;
    if (need.class === catalogue.RequestClass.Interactive || !isLong) return true;
    if (waitedMs >= constants.BATCH_SEPARATION_WAIT_MS || this.table.streamingCount === 0)
      return true;
    return isPrefillHeavy || this.isSeparationPaused(nowMs);
  }

  private isSeparationPaused(nowMs: number): boolean {
    return nowMs - this.lastStreamingDelayAtMs < constants.SEPARATION_PAUSE_MS;
  }

  private hasPrefillCapacity(need: types.GenerationNeed): boolean {
    if (need.class === catalogue.RequestClass.Interactive) return true;
    if (this.table.pendingPrefillTokens === 0) return true;
    const pendingTokens = this.table.pendingPrefillTokens + need.promptTokens;
    return pendingTokens <= constants.MAX_PENDING_PREFILL_TOKENS;
  }

  /** Tokens in the engine's memory, of this home's runs and of others. */
  private usedTokens(): number {
    return this.table.contextTokens + this.foreignTokens;
  }

  /** Counts the context tokens of reported runs that do not belong to this home. */
  private countForeignTokens(report: backends.EngineLoadReport): number {
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
    if (this.suspensionCounts.size <= constants.MAX_REMEMBERED_SUSPENSIONS_COUNT) return;
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

import type * as backends from "../../src/backends/types.js";
import * as engines from "../../src/engines/index.js";
import type * as engineTypes from "../../src/engines/types.js";

const ADMITTED: engines.AdmissionDecision = {
  verdict: engines.AdmissionVerdict.Admit,
  reason: "the reservation fits",
  estimatedWaitMs: 0,
};

const WAITING: engines.AdmissionDecision = {
  verdict: engines.AdmissionVerdict.Wait,
  reason: "the reservation does not fit, or the engine is leaving or has not reported",
  estimatedWaitMs: 0,
};

/**
 * The admission of the baseline policies: a fixed reservation per request, without learned output
 * lengths.
 */
export class FixedReservationScheduler implements engineTypes.EngineScheduler {
  private readonly reservations = new Map<string, number>();
  private reservedTokens = 0;
  private report: backends.EngineLoadReport | null = null;

  constructor(
    private readonly options: engines.EngineSchedulerOptions,
    private readonly reservationOf: (need: engines.GenerationNeed) => number,
  ) {}

  admit(need: engines.GenerationNeed): engines.AdmissionDecision {
    const requiredTokens = this.reservedTokens + this.reservationOf(need);
    const hasCapacity =
      this.reservations.size === 0 || requiredTokens <= this.options.capacityTokens;
    return hasCapacity && this.report?.leavingInMs === null ? ADMITTED : WAITING;
  }

  onStarted(need: engines.GenerationNeed): void {
    const tokens = this.reservationOf(need);
    this.reservations.set(need.requestId, tokens);
    this.reservedTokens += tokens;
  }

  onProgress(): void {
    // A fixed reservation does not depend on progress.
  }

  onEnded(requestId: string): void {
    this.reservedTokens -= this.reservations.get(requestId) ?? 0;
    this.reservations.delete(requestId);
  }

  onLoadReport(report: backends.EngineLoadReport): void {
    this.report = report;
  }

  selectSuspensions(): readonly string[] {
    return [];
  }

  listRunning(): readonly engines.RunningGeneration[] {
    return [];
  }

  view(): engines.EngineView {
    const isLeaving = this.report !== null && this.report.leavingInMs !== null;
    return {
      name: this.options.engineName,
      dataCentre: this.options.dataCentre,
      health: isLeaving ? engines.EngineHealth.Leaving : engines.EngineHealth.Live,
      capacityTokens: this.options.capacityTokens,
      reservedTokens: this.reservedTokens,
      runningCount: this.report?.runningCount ?? 0,
      waitingCount: this.report?.waitingCount ?? 0,
      stepTimeMs: this.report?.stepTimeMs ?? 0,
      loadedModels: this.report?.loadedModels ?? [],
      ageMs: 0,
      sentSinceTokens: 0,
      sentSinceCount: 0,
    };
  }
}

import type * as engineRuns from "../engineRun/index.js";

/** Time reserved for handing a run over before its engine terminates. */
const HANDOVER_MARGIN_MS = 2_000;

/** Records that an engine shuts down; a notice stays, whatever other sources report. */
export class TerminationNotice {
  private terminatesAtMs: number | null = null;

  get isReceived(): boolean {
    return this.terminatesAtMs !== null;
  }

  /**
   * Records that a source reports the engine as leaving.
   *
   * @param terminatesAtMs - monotonic time of its termination; Infinity if the source gives none
   */
  recordNotice(terminatesAtMs: number): void {
    this.terminatesAtMs = Math.min(this.terminatesAtMs ?? Infinity, terminatesAtMs);
  }

  /** Selects runs that may not finish before the engine terminates, the longest remaining first. */
  selectHandovers(
    runs: readonly engineRuns.EngineRun[],
    stepTimeMs: number,
    nowMs: number,
  ): readonly engineRuns.EngineRun[] {
    const { terminatesAtMs } = this;
    if (terminatesAtMs === null || terminatesAtMs === Infinity) return [];
    const remainingMs = terminatesAtMs - nowMs - HANDOVER_MARGIN_MS;
    return runs
      .filter((run) => computeMaxRemainingTokens(run) * stepTimeMs > remainingMs)
      .sort((left, right) => computeMaxRemainingTokens(right) - computeMaxRemainingTokens(left));
  }
}

/** Upper bound of the tokens that a run can still produce. */
function computeMaxRemainingTokens(run: engineRuns.EngineRun): number {
  return run.request.maxTokens - run.tokens.length;
}

import type * as engineRuns from "../engineRun/index.js";

/** Time kept in reserve for moving a generation before its engine goes. */
const MOVE_MARGIN_MS = 2_000;

/** Remembers that an engine leaves; once noted it stays noted, whatever other sources say. */
export class LeavingNotice {
  private leavesAtMs: number | null = null;

  get isNoted(): boolean {
    return this.leavesAtMs !== null;
  }

  /**
   * Notes a sign that the engine leaves.
   *
   * @param leavesAtMs - when it goes; Infinity where the source gives no time
   */
  note(leavesAtMs: number): void {
    this.leavesAtMs = Math.min(this.leavesAtMs ?? Infinity, leavesAtMs);
  }

  /** Runs that would not end before the engine goes, the longest expected first. */
  selectMoves(
    runs: readonly engineRuns.EngineRun[],
    stepTimeMs: number,
    nowMs: number,
  ): readonly engineRuns.EngineRun[] {
    const { leavesAtMs } = this;
    if (leavesAtMs === null || leavesAtMs === Infinity) return [];
    const leftMs = leavesAtMs - nowMs - MOVE_MARGIN_MS;
    return runs
      .filter((run) => remainingTokens(run) * stepTimeMs > leftMs)
      .sort((left, right) => remainingTokens(right) - remainingTokens(left));
  }
}

/** The most that a run may still produce. */
function remainingTokens(run: engineRuns.EngineRun): number {
  return run.request.maxTokens - run.tokens.length;
}

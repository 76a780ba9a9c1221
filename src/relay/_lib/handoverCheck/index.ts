import * as constants from "../../constants.js";

/** Decides when the handover of a run from its leaving engine is decided: once, unless it has to be again. */
export class HandoverCheck {
  /** The leaving engine for which a handover was already decided. */
  private checkedServerId: string | null = null;
  private recheckAtMs = Infinity;

  /** Whether a handover from a leaving engine is to be decided now; it is then taken as decided. */
  isDue(serverId: string, nowMs: number): boolean {
    if (this.checkedServerId === serverId && nowMs < this.recheckAtMs) return false;
    this.checkedServerId = serverId;
    this.recheckAtMs = Infinity;
    return true;
  }

  /** Lets the handover be decided again: the run may not end as expected, or the handover failed. */
  recheckAfter(nowMs: number, delayMs: number): void {
    this.recheckAtMs = nowMs + Math.max(constants.HANDOVER_RECHECK_INTERVAL_MS, delayMs);
  }
}

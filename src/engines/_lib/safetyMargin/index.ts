import * as constants from "../../constants.js";

/**
 * Adaptive safety margin of admission, in standard deviations of the memory forecast. Preemptions
 * and suspensions raise it; memory that is idle while work waits lowers it.
 */
export class SafetyMargin {
  private current = constants.INITIAL_MARGIN_DEVIATIONS;

  /** The current margin, in standard deviations. */
  get deviations(): number {
    return this.current;
  }

  /** Raises the margin by a step per generation that was preempted or suspended. */
  onInterruptions(count: number): void {
    const raised = this.current + count * constants.MARGIN_RAISE_DEVIATIONS;
    this.current = Math.min(constants.MAX_MARGIN_DEVIATIONS, raised);
  }

  /**
   * Lowers the margin if much memory was idle when a generation ended while others waited.
   *
   * @param idleRatio - share of the engine's memory that was not in use
   */
  onEndedWhileWorkWaited(idleRatio: number): void {
    const excessRatio = Math.max(0, idleRatio - constants.ACCEPTED_IDLE_RATIO);
    const relaxed = this.current - constants.MARGIN_RELAX_DEVIATIONS * excessRatio;
    this.current = Math.max(constants.MIN_MARGIN_DEVIATIONS, relaxed);
  }
}

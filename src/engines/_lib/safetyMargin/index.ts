import * as constants from "../../constants.js";

/**
 * The safety margin of admission, in standard deviations. Generations that lost their place raise
 * it, memory that stayed idle while work waited lowers it.
 */
export class SafetyMargin {
  private current = constants.INITIAL_MARGIN_DEVIATIONS;

  get deviations(): number {
    return this.current;
  }

  onInterruptions(count: number): void {
    const raised = this.current + count * constants.MARGIN_RAISE_DEVIATIONS;
    this.current = Math.min(constants.MAX_MARGIN_DEVIATIONS, raised);
  }

  /** @param idleRatio - share of the engine's memory that was not in use */
  onEndedWhileWorkWaited(idleRatio: number): void {
    const excessRatio = Math.max(0, idleRatio - constants.ACCEPTED_IDLE_RATIO);
    const relaxed = this.current - constants.MARGIN_RELAX_DEVIATIONS * excessRatio;
    this.current = Math.max(constants.MIN_MARGIN_DEVIATIONS, relaxed);
  }
}

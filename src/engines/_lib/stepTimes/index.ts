import * as constants from "../../constants.js";

/** Least batch size for which a reported step time is used. */
const MIN_RUNNING_COUNT = 1;

/** Estimates the time of one decoding step as a linear function of the batch size. */
export class StepTimes {
  private averageMs = constants.INITIAL_STEP_TIME_MS;
  private averageCount = 0;
  private hasObservations = false;
  private covariance = 0;
  private countVariance = 0;

  /** Moving average of the observed step times. */
  get stepTimeMs(): number {
    return this.averageMs;
  }

  /** Records a step time that an engine reported together with its batch size. */
  observe(stepTimeMs: number, runningCount: number): void {
    if (!(stepTimeMs > 0) || runningCount < MIN_RUNNING_COUNT) return;
    const weight = this.hasObservations ? constants.STEP_TIME_WEIGHT : 1;
    this.hasObservations = true;
    const timeOffset = stepTimeMs - this.averageMs;
    const countOffset = runningCount - this.averageCount;
    this.averageMs += weight * timeOffset;
    this.averageCount += weight * countOffset;
    if (weight === 1) return;
    this.covariance += weight * (timeOffset * countOffset - this.covariance);
    this.countVariance += weight * (countOffset * countOffset - this.countVariance);
  }

  /** Estimates the step time for a batch size, in milliseconds. */
  estimateStepTimeMs(runningCount: number): number {
    const slopeMs = this.countVariance > 0 ? Math.max(0, this.covariance / this.countVariance) : 0;
    return Math.max(0, this.averageMs + slopeMs * (runningCount - this.averageCount));
  }
}

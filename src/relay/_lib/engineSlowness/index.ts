import * as constants from "../../constants.js";

/** Tracks how slow engines are, from their times to the first event. */
export class EngineSlowness {
  private readonly ratios = new Map<string, number>();

  /** Returns the observed time to the first event divided by the expected time; 1 if unknown. */
  ratioOf(serverId: string): number {
    return this.ratios.get(serverId) ?? 1;
  }

  /**
   * Updates an engine's ratio from one observed time to a first event, in milliseconds. The expected
   * time already includes the current ratio.
   */
  recordFirstEvent(serverId: string, expectedMs: number, observedMs: number): void {
    const currentRatio = this.ratioOf(serverId);
    const observedRatio = (currentRatio * observedMs) / Math.max(1, expectedMs);
    const boundedRatio = Math.min(
      constants.MAX_SLOWNESS_RATIO,
      Math.max(constants.MIN_SLOWNESS_RATIO, observedRatio),
    );
    this.ratios.set(
      serverId,
      currentRatio + constants.SLOWNESS_WEIGHT * (boundedRatio - currentRatio),
    );
  }
}

import * as constants from "../../constants.js";

/** How fast engines are, as their first events show. */
export class EngineSlowness {
  private readonly ratios = new Map<string, number>();

  /** Time to the first event as seen, over the time that was expected. */
  ratioOf(serverId: string): number {
    return this.ratios.get(serverId) ?? 1;
  }

  /** Takes in the time to a first event. */
  note(serverId: string, expectedMs: number, observedMs: number): void {
    const known = this.ratioOf(serverId);
    const observedRatio = (known * observedMs) / Math.max(1, expectedMs);
    const bounded = Math.min(
      constants.MAX_SLOWNESS_RATIO,
      Math.max(constants.MIN_SLOWNESS_RATIO, observedRatio),
    );
    this.ratios.set(serverId, known + constants.SLOWNESS_WEIGHT * (bounded - known));
  }
}

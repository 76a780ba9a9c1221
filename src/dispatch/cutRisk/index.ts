import type * as clocks from "../../_lib/clock/index.js";
import * as constants from "../constants.js";

/**
 * How likely a stream from another data centre is cut off, by when this VM last suspected a cut. The
 * load pattern: demand that rises and falls in each data centre at another time, between which
 * streams cross safely for hours or days, and failures of the network that come in groups.
 */
export class CutRisk {
  private readonly cutAtMs = new Map<string, number>();

  constructor(private readonly clock: clocks.Clock) {}

  /** Records whether a cut to a data centre is suspected now. */
  record(dataCentre: string, isCut: boolean): void {
    if (isCut) this.cutAtMs.set(dataCentre, this.clock.nowMs());
  }

  /** Cost of a stream from a data centre, as a share of the stream's duration. */
  ratioOf(dataCentre: string): number {
    const cutAtMs = this.cutAtMs.get(dataCentre);
    if (cutAtMs === undefined) return constants.CUT_RISK_RATIO;
    const ageMs = this.clock.nowMs() - cutAtMs;
    const addedRatio = constants.RECENT_CUT_RISK_RATIO - constants.CUT_RISK_RATIO;
    return constants.CUT_RISK_RATIO + addedRatio * 2 ** (-ageMs / constants.CUT_RISK_HALF_LIFE_MS);
  }
}

import * as hdr from "hdr-histogram-js";

import * as constants from "../constants.js";

/** Precision of recorded values in significant decimal digits. */
const SIGNIFICANT_DIGITS = 2;

/** Values below one unit are lost, so milliseconds are recorded in tenths. */
export const UNITS_PER_MS = 10;

/** An empty histogram of the shape that all VMs use, so that any two of them merge. */
export function createHistogram(): hdr.Histogram {
  return hdr.build({
    bitBucketSize: 32,
    autoResize: true,
    lowestDiscernibleValue: 1,
    highestTrackableValue: 2 * UNITS_PER_MS,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });
}

interface HistogramSlot {
  readonly slot: number;
  readonly histogram: hdr.Histogram;
}

/** HDR histograms of the last hour, one per ten minutes. */
export class SlotHistograms {
  private slots: HistogramSlot[] = [];

  record(valueMs: number, wallTimeMs: number): void {
    const value = Math.round(Math.min(valueMs, constants.HISTOGRAM_MAX_MS) * UNITS_PER_MS);
    this.slotAt(wallTimeMs).histogram.recordValue(Math.max(0, value));
  }

  /** All values of the last hour in one histogram; undefined where there are none. */
  merged(wallTimeMs: number): hdr.Histogram | undefined {
    this.dropOld(slotOf(wallTimeMs));
    if (this.slots.length === 0) return undefined;
    const total = createHistogram();
    for (const { histogram } of this.slots) total.add(histogram);
    return total;
  }

  private slotAt(wallTimeMs: number): HistogramSlot {
    const slot = slotOf(wallTimeMs);
    const newest = this.slots.at(-1);
    if (newest !== undefined && newest.slot >= slot) return newest;
    const created = { slot, histogram: createHistogram() };
    this.slots.push(created);
    this.dropOld(slot);
    return created;
  }

  private dropOld(newestSlot: number): void {
    const oldestSlot = newestSlot - constants.HISTOGRAM_SLOTS_COUNT + 1;
    if ((this.slots[0]?.slot ?? oldestSlot) >= oldestSlot) return;
    this.slots = this.slots.filter((item) => item.slot >= oldestSlot);
  }
}

function slotOf(wallTimeMs: number): number {
  return Math.floor(wallTimeMs / constants.HISTOGRAM_SLOT_MS);
}

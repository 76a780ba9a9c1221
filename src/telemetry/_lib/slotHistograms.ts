import * as hdr from "hdr-histogram-js";

import * as constants from "../constants.js";

/** Precision of recorded values, in significant decimal digits. */
const SIGNIFICANT_DIGITS = 2;

/** Histogram units per millisecond; histograms hold whole units, hence tenths of a millisecond. */
export const UNITS_PER_MS = 10;

/** Creates an empty histogram with the configuration of all VMs, so that any two can be merged. */
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

/** Keeps HDR histograms of the last hour, one per ten minutes. */
export class SlotHistograms {
  private slots: HistogramSlot[] = [];

  /** Records a value, clamped to the histograms' range, at the given wall time. */
  record(valueMs: number, wallTimeMs: number): void {
    const value = Math.round(Math.min(valueMs, constants.HISTOGRAM_MAX_MS) * UNITS_PER_MS);
    this.getSlot(wallTimeMs).histogram.recordValue(Math.max(0, value));
  }

  /** Merges all values of the last hour into one histogram; undefined if there are none. */
  merge(wallTimeMs: number): hdr.Histogram | undefined {
    this.removeExpired(toSlotNumber(wallTimeMs));
    if (this.slots.length === 0) return undefined;
    const total = createHistogram();
    for (const { histogram } of this.slots) total.add(histogram);
    return total;
  }

  private getSlot(wallTimeMs: number): HistogramSlot {
    const slot = toSlotNumber(wallTimeMs);
    const newest = this.slots.at(-1);
    if (newest !== undefined && newest.slot >= slot) return newest;
    const created = { slot, histogram: createHistogram() };
    this.slots.push(created);
    this.removeExpired(slot);
    return created;
  }

  private removeExpired(newestSlot: number): void {
    const oldestSlot = newestSlot - constants.HISTOGRAM_SLOTS_COUNT + 1;
    if ((this.slots[0]?.slot ?? oldestSlot) >= oldestSlot) return;
    this.slots = this.slots.filter((item) => item.slot >= oldestSlot);
  }
}

function toSlotNumber(wallTimeMs: number): number {
  return Math.floor(wallTimeMs / constants.HISTOGRAM_SLOT_MS);
}

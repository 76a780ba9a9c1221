import * as hdr from "hdr-histogram-js";

import * as slotHistograms from "../_lib/slotHistograms.js";
import type * as types from "../types.js";

/**
 * Merges the burn series of several VMs by adding their counts and histograms.
 *
 * @param reports - the series of each VM
 * @returns one series per entry and subject, sorted by entry and subject
 */
export function mergeBurn(
  reports: readonly (readonly types.BurnSeries[])[],
): readonly types.BurnSeries[] {
  const merged = new Map<string, types.BurnSeries>();
  for (const series of reports.flat()) {
    const key = `${series.entryName}/${series.subject}`;
    const known = merged.get(key);
    merged.set(key, known === undefined ? series : addSeries(known, series));
  }
  return [...merged.keys()].sort().flatMap((key) => merged.get(key) ?? []);
}

/**
 * Returns the values at the given percentiles of an encoded histogram, in milliseconds.
 *
 * @param histogram - compressed HDR histogram in base64
 * @param percentiles - percentiles from 0 to 100
 * @returns the values in the same order; null without a histogram
 */
export function decodeQuantiles(
  histogram: string | null,
  percentiles: readonly number[],
): readonly number[] | null {
  if (histogram === null) return null;
  const decoded = hdr.decodeFromCompressedBase64(histogram);
  return percentiles.map(
    (percentile) => decoded.getValueAtPercentile(percentile) / slotHistograms.UNITS_PER_MS,
  );
}

function addSeries(left: types.BurnSeries, right: types.BurnSeries): types.BurnSeries {
  return {
    ...left,
    windows: left.windows.map((counts) => addWindow(counts, right.windows)),
    slots: addSlots(left.slots, right.slots),
    histogram: addHistograms(left.histogram, right.histogram),
  };
}

function addWindow(
  counts: types.BurnCounts,
  others: readonly types.BurnCounts[],
): types.BurnCounts {
  const other = others.find((item) => item.windowMs === counts.windowMs);
  return {
    windowMs: counts.windowMs,
    goodCount: counts.goodCount + (other?.goodCount ?? 0),
    badCount: counts.badCount + (other?.badCount ?? 0),
  };
}

function addSlots(
  left: readonly types.BurnSlot[],
  right: readonly types.BurnSlot[],
): readonly types.BurnSlot[] {
  const slots = new Map<number, types.BurnSlot>();
  for (const slot of [...left, ...right]) {
    const known = slots.get(slot.startWallMs);
    slots.set(slot.startWallMs, {
      startWallMs: slot.startWallMs,
      goodCount: slot.goodCount + (known?.goodCount ?? 0),
      badCount: slot.badCount + (known?.badCount ?? 0),
    });
  }
  return [...slots.values()].sort((a, b) => a.startWallMs - b.startWallMs);
}

function addHistograms(left: string | null, right: string | null): string | null {
  if (left === null || right === null) return left ?? right;
  const total = slotHistograms.createHistogram();
  total.add(hdr.decodeFromCompressedBase64(left));
  total.add(hdr.decodeFromCompressedBase64(right));
  return hdr.encodeIntoCompressedBase64(total);
}

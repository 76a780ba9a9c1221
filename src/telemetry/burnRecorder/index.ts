import * as hdr from "hdr-histogram-js";

import type * as clocks from "../../_lib/clock/index.js";
import type * as catalogue from "../../catalogue/types.js";
import * as slotCounters from "../_lib/slotCounters.js";
import * as slotHistograms from "../_lib/slotHistograms.js";
import * as constants from "../constants.js";
import * as types from "../types.js";

/** An entry's objectives and owner, looked up when an event is recorded. */
export interface ObjectiveSource {
  readonly owner: string;
  readonly objectives: catalogue.Objectives;
}

/** Finds an entry's objectives by its name. */
export type FindObjectives = (entryName: string) => ObjectiveSource | undefined;

interface Series {
  readonly entryName: string;
  readonly subject: types.BurnSubject;
  readonly counters: slotCounters.SlotCounters;
  readonly histograms: slotHistograms.SlotHistograms;
}

type BoundOf = (objectives: catalogue.Objectives) => number | undefined;

const SUBJECT_OF: Readonly<Record<types.Measure, types.BurnSubject>> = {
  [types.Measure.StallMs]: types.BurnSubject.Stall,
  [types.Measure.InterTokenMs]: types.BurnSubject.InterToken,
  [types.Measure.FirstTokenMs]: types.BurnSubject.FirstToken,
  [types.Measure.CompletionMs]: types.BurnSubject.Completion,
};

const BOUND_OF: Readonly<Record<types.BurnSubject, BoundOf>> = {
  [types.BurnSubject.Stall]: (objectives) => objectives.stallMs,
  [types.BurnSubject.InterToken]: (objectives) => objectives.interTokenMs,
  [types.BurnSubject.FirstToken]: (objectives) => objectives.firstTokenMs,
  [types.BurnSubject.Completion]: () => undefined,
};

/** Counts events against the objectives of their entries, and keeps their distributions. */
export class BurnRecorder {
  private readonly series = new Map<string, Series>();

  constructor(
    private readonly clock: clocks.Clock,
    private readonly findObjectives: FindObjectives,
  ) {}

  /** Records one value of a measure; it is good where it keeps the entry's bound. */
  observe(measure: types.Measure, entryName: string, valueMs: number): void {
    const subject = SUBJECT_OF[measure];
    const wallTimeMs = this.clock.wallTimeMs();
    const series = this.seriesOf(entryName, subject);
    series.histograms.record(valueMs, wallTimeMs);
    if (subject === types.BurnSubject.Completion) return;
    const source = this.findObjectives(entryName);
    const boundMs = source === undefined ? undefined : BOUND_OF[subject](source.objectives);
    series.counters.add(boundMs === undefined || valueMs <= boundMs, wallTimeMs);
  }

  /** Records whether a request finished whole. */
  completed(entryName: string, isWhole: boolean): void {
    const series = this.seriesOf(entryName, types.BurnSubject.Completion);
    series.counters.add(isWhole, this.clock.wallTimeMs());
  }

  /** What this VM recorded, for the merge over VMs. */
  report(): readonly types.BurnSeries[] {
    const reports: types.BurnSeries[] = [];
    for (const series of this.series.values()) {
      const source = this.findObjectives(series.entryName);
      if (source === undefined) continue;
      reports.push(this.reportSeries(source, series));
    }
    return reports;
  }

  private reportSeries(source: ObjectiveSource, series: Series): types.BurnSeries {
    const wallTimeMs = this.clock.wallTimeMs();
    const histogram = series.histograms.merged(wallTimeMs);
    return {
      entryName: series.entryName,
      owner: source.owner,
      subject: series.subject,
      objectiveMs: BOUND_OF[series.subject](source.objectives) ?? null,
      targetRatio: source.objectives.targetRatio,
      windows: constants.BURN_WINDOWS_MS.map((windowMs) =>
        series.counters.countWindow(windowMs, wallTimeMs),
      ),
      slots: series.counters.listSlots(wallTimeMs, constants.BURN_SLOTS_COUNT).filter(hasEvents),
      histogram: histogram === undefined ? null : hdr.encodeIntoCompressedBase64(histogram),
    };
  }

  private seriesOf(entryName: string, subject: types.BurnSubject): Series {
    const key = `${subject}/${entryName}`;
    const known = this.series.get(key);
    if (known !== undefined) return known;
    const created = {
      entryName,
      subject,
      counters: new slotCounters.SlotCounters(),
      histograms: new slotHistograms.SlotHistograms(),
    };
    this.series.set(key, created);
    return created;
  }
}

function hasEvents(slot: types.BurnSlot): boolean {
  return slot.goodCount + slot.badCount > 0;
}

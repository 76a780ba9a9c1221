import * as hdr from "hdr-histogram-js";

import type * as clocks from "../../_lib/clock/index.js";
import type * as catalogue from "../../catalogue/types.js";
import * as slotCounters from "../_lib/slotCounters.js";
import * as slotHistograms from "../_lib/slotHistograms.js";
import * as constants from "../constants.js";
import * as types from "../types.js";

/** Owner and objectives of an entry. */
export interface EntryObjectives {
  readonly owner: string;
  readonly objectives: catalogue.Objectives;
}

/** Finds owner and objectives of an entry by its name; undefined if the entry does not exist. */
export type FindObjectives = (entryName: string) => EntryObjectives | undefined;

interface Series {
  readonly entryName: string;
  readonly subject: types.BurnSubject;
  readonly counters: slotCounters.SlotCounters;
  readonly histograms: slotHistograms.SlotHistograms;
}

type FindBoundMs = (objectives: catalogue.Objectives) => number | undefined;

const SUBJECT_BY_MEASURE: Readonly<Record<types.Measure, types.BurnSubject>> = {
  [types.Measure.StallMs]: types.BurnSubject.Stall,
  [types.Measure.InterTokenMs]: types.BurnSubject.InterToken,
  [types.Measure.FirstTokenMs]: types.BurnSubject.FirstToken,
  [types.Measure.CompletionMs]: types.BurnSubject.Completion,
};

const FIND_BOUND_MS_BY_SUBJECT: Readonly<Record<types.BurnSubject, FindBoundMs>> = {
  [types.BurnSubject.Stall]: (objectives) => objectives.stallMs,
  [types.BurnSubject.InterToken]: (objectives) => objectives.interTokenMs,
  [types.BurnSubject.FirstToken]: (objectives) => objectives.firstTokenMs,
  [types.BurnSubject.Completion]: () => undefined,
};

/** Counts events as good or bad by the objectives of their entries, and records distributions. */
export class BurnRecorder {
  private readonly series = new Map<string, Series>();

  constructor(
    private readonly clock: clocks.Clock,
    private readonly findObjectives: FindObjectives,
  ) {}

  /**
   * Records one value of a measure. It counts as good if it is within the entry's bound, or if the
   * entry has none.
   */
  observe(measure: types.Measure, entryName: string, valueMs: number): void {
    const subject = SUBJECT_BY_MEASURE[measure];
    const wallTimeMs = this.clock.wallTimeMs();
    const series = this.getSeries(entryName, subject);
    series.histograms.record(valueMs, wallTimeMs);
    if (subject === types.BurnSubject.Completion) return;
    const source = this.findObjectives(entryName);
    const boundMs =
      source === undefined ? undefined : FIND_BOUND_MS_BY_SUBJECT[subject](source.objectives);
    series.counters.add(boundMs === undefined || valueMs <= boundMs, wallTimeMs);
  }

  /** Records whether a request finished with a complete answer. */
  recordCompletion(entryName: string, isComplete: boolean): void {
    const series = this.getSeries(entryName, types.BurnSubject.Completion);
    series.counters.add(isComplete, this.clock.wallTimeMs());
  }

  /** Returns the burn series of this VM, one per existing entry and subject, to be merged. */
  report(): readonly types.BurnSeries[] {
    const reports: types.BurnSeries[] = [];
    for (const series of this.series.values()) {
      const source = this.findObjectives(series.entryName);
      if (source === undefined) continue;
      reports.push(this.reportSeries(source, series));
    }
    return reports;
  }

  private reportSeries(source: EntryObjectives, series: Series): types.BurnSeries {
    const wallTimeMs = this.clock.wallTimeMs();
    const histogram = series.histograms.merge(wallTimeMs);
    return {
      entryName: series.entryName,
      owner: source.owner,
      subject: series.subject,
      objectiveMs: FIND_BOUND_MS_BY_SUBJECT[series.subject](source.objectives) ?? null,
      targetRatio: source.objectives.targetRatio,
      windows: constants.BURN_WINDOWS_MS.map((windowMs) =>
        series.counters.countWindow(windowMs, wallTimeMs),
      ),
      slots: series.counters.listSlots(wallTimeMs, constants.BURN_SLOTS_COUNT).filter(hasEvents),
      histogram: histogram === undefined ? null : hdr.encodeIntoCompressedBase64(histogram),
    };
  }

  private getSeries(entryName: string, subject: types.BurnSubject): Series {
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

import * as hdr from "hdr-histogram-js";

import * as catalogue from "../../src/catalogue/types.js";
import type * as types from "../types.js";

/** A caller without a token for this long is stalled; the whole gap then counts as stall time. */
export const STALL_FROM_MS = 200;

/** Histograms hold tenths of milliseconds. */
const UNITS_PER_MS = 10;
const LONGEST_MS = 7_200_000;

type Histogram = hdr.Histogram;

interface MutableClassOutcome {
  offeredCount: number;
  completedCount: number;
  longestWaitMs: number;
}

/** One request as its caller sees it. */
export class CallerView {
  deliveredTokens = 0;
  stallMs = 0;
  lastProgressMs: number;
  isOver = false;

  constructor(
    readonly plan: types.PlannedRequest,
    /** Whether a person waits for the answer or watches it. */
    readonly isWatched: boolean,
  ) {
    this.lastProgressMs = plan.atMs;
  }
}

/** Measures what callers see, over all requests of a run. */
export class Recorder {
  suspensionsCount = 0;
  private completedCount = 0;
  private refusedCount = 0;
  private offeredCount = 0;
  private stallTotalMs = 0;
  private windowTokens = 0;
  private readonly stalls = createHistogram();
  private readonly gaps = createHistogram();
  private readonly firstTokens = createHistogram();
  private readonly classes = new Map<catalogue.RequestClass, MutableClassOutcome>();

  constructor(private readonly windowMs: number) {}

  onOffered(plan: types.PlannedRequest): CallerView {
    this.offeredCount += 1;
    this.outcomeOf(plan).offeredCount += 1;
    return new CallerView(plan, plan.entry.class !== catalogue.RequestClass.Batch);
  }

  onToken(caller: CallerView, nowMs: number): void {
    const gapMs = nowMs - caller.lastProgressMs;
    const isFirst = caller.deliveredTokens === 0;
    caller.lastProgressMs = nowMs;
    caller.deliveredTokens += 1;
    if (nowMs <= this.windowMs) this.windowTokens += 1;
    if (isFirst) this.noteWait(caller.plan, gapMs);
    if (!caller.isWatched) return;
    record(isFirst ? this.firstTokens : this.gaps, gapMs);
    if (gapMs >= STALL_FROM_MS) caller.stallMs += gapMs;
  }

  onCompleted(caller: CallerView): void {
    if (caller.isOver || caller.deliveredTokens !== caller.plan.trueTokens) return;
    caller.isOver = true;
    this.completedCount += 1;
    this.outcomeOf(caller.plan).completedCount += 1;
    if (!caller.isWatched) return;
    this.stallTotalMs += caller.stallMs;
    record(this.stalls, caller.stallMs);
  }

  /** Nothing of the request ran, and its caller was told so. */
  onRefused(caller: CallerView): void {
    if (caller.isOver || caller.deliveredTokens > 0) return;
    caller.isOver = true;
    this.refusedCount += 1;
  }

  get openCount(): number {
    return this.offeredCount - this.completedCount - this.refusedCount;
  }

  /** What was measured, without what only the run knows. */
  summary(): Omit<types.ExperimentResult, "policy" | "seed" | "load" | "preemptionsCount"> {
    return {
      stallTimeTotalMs: Math.round(this.stallTotalMs),
      stallTimeP99Ms: quantile(this.stalls, 99),
      interTokenP99Ms: quantile(this.gaps, 99),
      firstTokenP95Ms: quantile(this.firstTokens, 95),
      completedCount: this.completedCount,
      refusedCount: this.refusedCount,
      lostCount: this.openCount,
      tokensPerSecond: Math.round((this.windowTokens * 10_000) / this.windowMs) / 10,
    };
  }

  classOutcomes(): ReadonlyMap<catalogue.RequestClass, types.ClassOutcome> {
    return this.classes;
  }

  private noteWait(plan: types.PlannedRequest, waitedMs: number): void {
    const outcome = this.outcomeOf(plan);
    outcome.longestWaitMs = Math.max(outcome.longestWaitMs, Math.round(waitedMs));
  }

  private outcomeOf(plan: types.PlannedRequest): MutableClassOutcome {
    const known = this.classes.get(plan.entry.class);
    if (known !== undefined) return known;
    const created = { offeredCount: 0, completedCount: 0, longestWaitMs: 0 };
    this.classes.set(plan.entry.class, created);
    return created;
  }
}

function createHistogram(): Histogram {
  return hdr.build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: LONGEST_MS * UNITS_PER_MS,
    numberOfSignificantValueDigits: 3,
    useWebAssembly: false,
  });
}

function record(histogram: Histogram, valueMs: number): void {
  histogram.recordValue(Math.round(Math.min(valueMs, LONGEST_MS) * UNITS_PER_MS));
}

function quantile(histogram: Histogram, percentile: number): number {
  return histogram.getValueAtPercentile(percentile) / UNITS_PER_MS;
}

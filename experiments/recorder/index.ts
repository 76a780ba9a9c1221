import * as hdr from "hdr-histogram-js";

import * as catalogue from "../../src/catalogue/types.js";
import type * as types from "../types.js";

/**
 * Minimum time without a token that counts as a stall; the whole interval then counts as stall
 * time.
 */
export const STALL_THRESHOLD_MS = 200;

/** Histograms record values in tenths of a millisecond. */
const HISTOGRAM_UNITS_PER_MS = 10;
const MAX_RECORDED_MS = 7_200_000;

type Histogram = hdr.Histogram;

interface MutableClassOutcome {
  offeredCount: number;
  completedCount: number;
  longestWaitMs: number;
}

/** The progress of one request as its caller observes it. */
export class CallerView {
  deliveredTokens = 0;
  stallMs = 0;
  lastProgressAtMs: number;
  isFinished = false;

  constructor(
    readonly plan: types.PlannedRequest,
    /** Whether a person waits for the answer or reads it as it streams. */
    readonly isUserFacing: boolean,
  ) {
    this.lastProgressAtMs = plan.atMs;
  }
}

/** Records what callers observe, over all requests of a run. */
export class Recorder {
  suspensionsCount = 0;
  private completedCount = 0;
  private refusedCount = 0;
  private offeredCount = 0;
  private stallTotalMs = 0;
  private windowTokens = 0;
  private readonly stallTimes = createHistogram();
  private readonly interTokenTimes = createHistogram();
  private readonly firstTokenTimes = createHistogram();
  private readonly classes = new Map<catalogue.RequestClass, MutableClassOutcome>();

  /** @param windowMs - time from the start of the run in which tokens count for the throughput */
  constructor(private readonly windowMs: number) {}

  /** Records the arrival of a request and returns its caller's view. */
  onOffered(plan: types.PlannedRequest): CallerView {
    this.offeredCount += 1;
    this.outcomeOf(plan).offeredCount += 1;
    return new CallerView(plan, plan.entry.class !== catalogue.RequestClass.Batch);
  }

  /** Records the delivery of one token at the given time in ms. */
  onToken(caller: CallerView, nowMs: number): void {
    const gapMs = nowMs - caller.lastProgressAtMs;
    const isFirst = caller.deliveredTokens === 0;
    caller.lastProgressAtMs = nowMs;
    caller.deliveredTokens += 1;
    if (nowMs <= this.windowMs) this.windowTokens += 1;
    if (isFirst) this.recordWait(caller.plan, gapMs);
    if (!caller.isUserFacing) return;
    recordMs(isFirst ? this.firstTokenTimes : this.interTokenTimes, gapMs);
    if (gapMs >= STALL_THRESHOLD_MS) caller.stallMs += gapMs;
  }

  /** Records the completion of a request once all its tokens were delivered; ignored otherwise. */
  onCompleted(caller: CallerView): void {
    if (caller.isFinished || caller.deliveredTokens !== caller.plan.trueTokens) return;
    caller.isFinished = true;
    this.completedCount += 1;
    this.outcomeOf(caller.plan).completedCount += 1;
    if (!caller.isUserFacing) return;
    this.stallTotalMs += caller.stallMs;
    recordMs(this.stallTimes, caller.stallMs);
  }

  /** Records that a request was refused without being run; ignored after its first token or end. */
  onRefused(caller: CallerView): void {
    if (caller.isFinished || caller.deliveredTokens > 0) return;
    caller.isFinished = true;
    this.refusedCount += 1;
  }

  /** The number of requests that have neither completed nor been refused. */
  get unfinishedCount(): number {
    return this.offeredCount - this.completedCount - this.refusedCount;
  }

  /** Returns the measured results, without the fields that the run adds. */
  summary(): Omit<types.ExperimentResult, "policy" | "seed" | "load" | "preemptionsCount"> {
    return {
      stallTimeTotalMs: Math.round(this.stallTotalMs),
      stallTimeP99Ms: percentileMs(this.stallTimes, 99),
      interTokenP99Ms: percentileMs(this.interTokenTimes, 99),
      firstTokenP95Ms: percentileMs(this.firstTokenTimes, 95),
      completedCount: this.completedCount,
      refusedCount: this.refusedCount,
      lostCount: this.unfinishedCount,
      tokensPerSecond: Math.round((this.windowTokens * 10_000) / this.windowMs) / 10,
    };
  }

  /** Returns the outcome of each request class. */
  classOutcomes(): ReadonlyMap<catalogue.RequestClass, types.ClassOutcome> {
    return this.classes;
  }

  private recordWait(plan: types.PlannedRequest, waitedMs: number): void {
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
    highestTrackableValue: MAX_RECORDED_MS * HISTOGRAM_UNITS_PER_MS,
    numberOfSignificantValueDigits: 3,
    useWebAssembly: false,
  });
}

function recordMs(histogram: Histogram, valueMs: number): void {
  histogram.recordValue(Math.round(Math.min(valueMs, MAX_RECORDED_MS) * HISTOGRAM_UNITS_PER_MS));
}

function percentileMs(histogram: Histogram, percentile: number): number {
  return histogram.getValueAtPercentile(percentile) / HISTOGRAM_UNITS_PER_MS;
}

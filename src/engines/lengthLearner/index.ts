import * as buckets from "../_lib/lengthBuckets/index.js";
import * as constants from "../constants.js";
import * as curves from "../lengthCurve/index.js";
import * as histograms from "../lengthHistogram/index.js";
import type * as types from "../types.js";

/** What a learner tells other VMs: the histograms of its entries and models, by key. */
export type LengthSnapshots = Readonly<Record<string, histograms.LengthHistogramSnapshot>>;

/** A histogram with the curve last built from it and from the wider one it leans on. */
interface LearnedLengths {
  readonly histogram: histograms.LengthHistogram;
  readonly parent: LearnedLengths | null;
  curve: curves.LengthCurve | null;
  mixedWeights: Float64Array;
  builtRevision: number;
}

/**
 * Learns output lengths per model, per entry and per account of an entry. Each leans on the wider
 * one while its own observations are few, and the widest on all orders of magnitude alike.
 */
export class LengthLearner implements types.LengthEstimator {
  private readonly shared = new Map<string, LearnedLengths>();
  /** By account, entry and model; nested, so that a look-up builds no key. */
  private readonly accounts = new Map<string, Map<string, Map<string, LearnedLengths>>>();
  /** Observations that other VMs were not told of yet. */
  private untold = new Map<string, histograms.LengthHistogram>();

  distributionFor(need: types.GenerationNeed): types.LengthDistribution {
    return curveOf(this.accountLengths(need));
  }

  observe(need: types.GenerationNeed, totalTokens: number): void {
    const account = this.accountLengths(need);
    for (let item: LearnedLengths | null = account; item !== null; item = item.parent) {
      item.histogram.observe(totalTokens);
    }
    this.untoldLengths(entryKeyOf(need)).observe(totalTokens);
    this.untoldLengths(JSON.stringify([need.model])).observe(totalTokens);
  }

  /** What this VM itself observed since the last call, for other VMs to merge. */
  takeObservations(): LengthSnapshots {
    const items = [...this.untold].map(([key, item]) => [key, item.snapshot()] as const);
    this.untold = new Map();
    return Object.fromEntries(items);
  }

  /** All that is known of entries and models, for a VM that has just started. */
  snapshots(): LengthSnapshots {
    const items = [...this.shared].map(([key, item]) => [key, item.histogram.snapshot()] as const);
    return Object.fromEntries(items);
  }

  /**
   * Takes in what another VM observed.
   *
   * @param snapshots - by key, each observation in one of them only
   * @param ratio - share of their weight that counts
   */
  merge(snapshots: LengthSnapshots, ratio = 1): void {
    for (const [key, snapshot] of Object.entries(snapshots)) {
      this.sharedLengths(key, parentKeyOf(key)).histogram.merge(snapshot, ratio);
    }
  }

  private accountLengths(need: types.GenerationNeed): LearnedLengths {
    const known = this.accounts.get(need.accountName)?.get(need.entryName)?.get(need.model);
    if (known !== undefined) return known;
    const parent = this.sharedLengths(entryKeyOf(need), JSON.stringify([need.model]));
    const created = createLengths(parent);
    const entries = childOf(this.accounts, need.accountName);
    childOf(entries, need.entryName).set(need.model, created);
    this.forgetOldestAccount();
    return created;
  }

  private forgetOldestAccount(): void {
    if (this.accounts.size <= constants.MAX_ACCOUNT_HISTOGRAMS) return;
    const oldest = this.accounts.keys().next();
    if (oldest.done !== true) this.accounts.delete(oldest.value);
  }

  private untoldLengths(key: string): histograms.LengthHistogram {
    const known = this.untold.get(key);
    if (known !== undefined) return known;
    const created = new histograms.LengthHistogram();
    this.untold.set(key, created);
    return created;
  }

  private sharedLengths(key: string, parentKey: string | null): LearnedLengths {
    const known = this.shared.get(key);
    if (known !== undefined) return known;
    const parent = parentKey === null ? null : this.sharedLengths(parentKey, null);
    const created = createLengths(parent);
    this.shared.set(key, created);
    return created;
  }
}

function childOf<T>(parents: Map<string, Map<string, T>>, name: string): Map<string, T> {
  const known = parents.get(name);
  if (known !== undefined) return known;
  const created = new Map<string, T>();
  parents.set(name, created);
  return created;
}

function entryKeyOf(need: types.GenerationNeed): string {
  return JSON.stringify([need.model, need.entryName]);
}

function parentKeyOf(key: string): string | null {
  const parts = JSON.parse(key) as string[];
  return parts.length > 1 ? JSON.stringify(parts.slice(0, 1)) : null;
}

function createLengths(parent: LearnedLengths | null): LearnedLengths {
  return {
    histogram: new histograms.LengthHistogram(),
    parent,
    curve: null,
    mixedWeights: new Float64Array(buckets.BUCKETS_COUNT),
    builtRevision: -1,
  };
}

function curveOf(lengths: LearnedLengths): curves.LengthCurve {
  const revision = revisionOf(lengths);
  const tolerance = lengths.histogram.observationsCount * constants.CURVE_TOLERANCE_RATIO;
  if (lengths.curve !== null && revision - lengths.builtRevision <= tolerance) return lengths.curve;
  mixWeights(lengths);
  lengths.curve = new curves.LengthCurve(lengths.mixedWeights);
  lengths.builtRevision = revision;
  return lengths.curve;
}

function revisionOf(lengths: LearnedLengths): number {
  const own = lengths.histogram.revision;
  return lengths.parent === null ? own : own + revisionOf(lengths.parent);
}

/** Own weights plus the wider distribution as if it were a few observations more. */
function mixWeights(lengths: LearnedLengths): void {
  const { histogram, parent, mixedWeights } = lengths;
  if (parent !== null) mixWeights(parent);
  const priorCount =
    parent === null ? constants.IGNORANCE_WEIGHT_COUNT : constants.PRIOR_WEIGHT_COUNT;
  const priorTotal = parent === null ? buckets.BUCKETS_COUNT : sumOf(parent.mixedWeights);
  for (let index = 0; index < mixedWeights.length; index += 1) {
    const prior = parent === null ? 1 : (parent.mixedWeights[index] ?? 0);
    mixedWeights[index] = histogram.weightOf(index) + (priorCount * prior) / priorTotal;
  }
}

function sumOf(values: Float64Array): number {
  let total = 0;
  for (const value of values) total += value;
  return total;
}

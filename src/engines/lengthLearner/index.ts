import * as buckets from "../_lib/lengthBuckets/index.js";
import * as constants from "../constants.js";
import * as curves from "../lengthCurve/index.js";
import * as histograms from "../lengthHistogram/index.js";
import type * as types from "../types.js";

/** Histograms of a learner's entries and models, by key, for other VMs to merge. */
export type LengthSnapshots = Readonly<Record<string, histograms.LengthHistogramSnapshot>>;

/** A histogram with the curve last built from it and its parent. */
interface LearnedLengths {
  readonly histogram: histograms.LengthHistogram;
  readonly parent: LearnedLengths | null;
  curve: curves.LengthCurve | null;
  mixedWeights: Float64Array;
  builtRevision: number;
}

/**
 * Learns output lengths per model, per entry and per account of an entry. Each distribution uses
 * its parent as a prior while it has few observations; that of a model uses a prior that is uniform
 * over the logarithmic buckets.
 */
export class LengthLearner implements types.LengthEstimator {
  /** Lengths of entries and models, by key. */
  private readonly shared = new Map<string, LearnedLengths>();
  /** Lengths by account, entry and model; nested, so that a lookup creates no composite key. */
  private readonly accounts = new Map<string, Map<string, Map<string, LearnedLengths>>>();
  /** Observations that have not been returned by `takeObservations` yet. */
  private unsent = new Map<string, histograms.LengthHistogram>();

  distributionFor(need: types.GenerationNeed): types.LengthDistribution {
    return curveOf(this.getOrCreateAccountLengths(need));
  }

  observe(need: types.GenerationNeed, totalTokens: number): void {
    const account = this.getOrCreateAccountLengths(need);
    for (let item: LearnedLengths | null = account; item !== null; item = item.parent) {
      item.histogram.observe(totalTokens);
    }
    this.getOrCreateUnsentHistogram(entryKeyOf(need)).observe(totalTokens);
    this.getOrCreateUnsentHistogram(JSON.stringify([need.model])).observe(totalTokens);
  }

  /** Returns this VM's own observations since the last call, for other VMs to merge. */
  takeObservations(): LengthSnapshots {
    const items = [...this.unsent].map(([key, item]) => [key, item.snapshot()] as const);
    this.unsent = new Map();
    return Object.fromEntries(items);
  }

  /** Returns the whole histograms of entries and models, for a VM that has just started. */
  snapshots(): LengthSnapshots {
    const items = [...this.shared].map(([key, item]) => [key, item.histogram.snapshot()] as const);
    return Object.fromEntries(items);
  }

  /**
   * Merges observations of another VM.
   *
   * @param snapshots - by key; observations of an entry are not added to its model
   * @param ratio - factor applied to their weights
   */
  merge(snapshots: LengthSnapshots, ratio = 1): void {
    for (const [key, snapshot] of Object.entries(snapshots)) {
      this.getOrCreateSharedLengths(key, parentKeyOf(key)).histogram.merge(snapshot, ratio);
    }
  }

  private getOrCreateAccountLengths(need: types.GenerationNeed): LearnedLengths {
    const known = this.accounts.get(need.accountName)?.get(need.entryName)?.get(need.model);
    if (known !== undefined) return known;
    const parent = this.getOrCreateSharedLengths(entryKeyOf(need), JSON.stringify([need.model]));
    const created = createLengths(parent);
    const entries = getOrCreateChild(this.accounts, need.accountName);
    getOrCreateChild(entries, need.entryName).set(need.model, created);
    this.forgetOldestAccount();
    return created;
  }

  private forgetOldestAccount(): void {
    if (this.accounts.size <= constants.MAX_ACCOUNT_HISTOGRAMS_COUNT) return;
    const oldest = this.accounts.keys().next();
    if (oldest.done !== true) this.accounts.delete(oldest.value);
  }

  private getOrCreateUnsentHistogram(key: string): histograms.LengthHistogram {
    const known = this.unsent.get(key);
    if (known !== undefined) return known;
    const created = new histograms.LengthHistogram();
    this.unsent.set(key, created);
    return created;
  }

  private getOrCreateSharedLengths(key: string, parentKey: string | null): LearnedLengths {
    const known = this.shared.get(key);
    if (known !== undefined) return known;
    const parent = parentKey === null ? null : this.getOrCreateSharedLengths(parentKey, null);
    const created = createLengths(parent);
    this.shared.set(key, created);
    return created;
  }
}

function getOrCreateChild<T>(parents: Map<string, Map<string, T>>, name: string): Map<string, T> {
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
  mixInPriorWeights(lengths);
  lengths.curve = new curves.LengthCurve(lengths.mixedWeights);
  lengths.builtRevision = revision;
  return lengths.curve;
}

function revisionOf(lengths: LearnedLengths): number {
  const ownRevision = lengths.histogram.revision;
  return lengths.parent === null ? ownRevision : ownRevision + revisionOf(lengths.parent);
}

/** Adds the parent distribution, or else a uniform one, as a fixed count of observations. */
function mixInPriorWeights(lengths: LearnedLengths): void {
  const { histogram, parent, mixedWeights } = lengths;
  if (parent !== null) mixInPriorWeights(parent);
  const priorCount =
    parent === null ? constants.UNIFORM_PRIOR_WEIGHT_COUNT : constants.PARENT_PRIOR_WEIGHT_COUNT;
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

/** Required minimum of engines and demand of one model. */
interface ModelRequirement {
  readonly model: string;
  readonly version: string;
  readonly minLoadedEngines: number;
  readonly demand: number;
}

/**
 * Distributes engines among models: the stated minimums first, the remaining slots by demand.
 *
 * @param enginesCount - engines that are not leaving; each loads a model at most once
 * @param slotsCount - model slots of all engines together
 * @returns count of engines that should have the model loaded, by `model/version`
 */
export function computeDesiredCounts(
  models: readonly ModelRequirement[],
  enginesCount: number,
  slotsCount: number,
): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  let slotsLeft = slotsCount;
  for (const model of models) {
    const count = Math.min(model.minLoadedEngines, enginesCount, slotsLeft);
    counts.set(`${model.model}/${model.version}`, count);
    slotsLeft -= count;
  }
  for (; slotsLeft > 0; slotsLeft -= 1) {
    const model = findMostUnderserved(models, counts, enginesCount);
    if (model === null) return counts;
    const key = `${model.model}/${model.version}`;
    counts.set(key, (counts.get(key) ?? 0) + 1);
  }
  return counts;
}

/**
 * Finds the model with the highest demand per engine if it had one more, by the D'Hondt highest
 * averages method.
 */
function findMostUnderserved(
  models: readonly ModelRequirement[],
  counts: ReadonlyMap<string, number>,
  enginesCount: number,
): ModelRequirement | null {
  let best: ModelRequirement | null = null;
  let bestAverage = 0;
  for (const model of models) {
    const count = counts.get(`${model.model}/${model.version}`) ?? 0;
    const average = model.demand / (count + 1);
    if (count >= enginesCount || average <= bestAverage) continue;
    best = model;
    bestAverage = average;
  }
  return best;
}

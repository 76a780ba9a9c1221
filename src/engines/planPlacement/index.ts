import * as backends from "../../backends/types.js";
import * as desired from "../_lib/computeDesiredCounts/index.js";

/** State of an engine that placement takes into account. */
export interface PlacementEngine {
  readonly name: string;
  /** Count of models that the engine can hold at the same time. */
  readonly modelSlotsCount: number;
  readonly loadedModels: readonly backends.LoadedModel[];
  /** Models whose load was ordered and that are not loaded yet. */
  readonly loadingModels: readonly backends.LoadedModel[];
  /** Count of running generations by `model/version`. */
  readonly runningCounts: ReadonlyMap<string, number>;
  /** Whether the engine is live and not leaving. */
  readonly isStaying: boolean;
}

/** Requirements of the catalogue and learned demand for one model. */
export interface ModelDemand {
  readonly model: string;
  readonly version: string;
  readonly adapters: readonly string[];
  readonly minLoadedEngines: number;
  /** Learned demand, in any unit that is the same for all models. */
  readonly demand: number;
}

/** Fencing number of a plan and limit of its loads. */
export interface PlanPlacementOptions {
  /** Offset of the placement lease's record; engines refuse orders with a lower number. */
  readonly fencingNumber: number;
  /** Count of loads that the weight store allows now. */
  readonly loadsAvailableCount: number;
}

/** An order to one engine, with its reason. */
export interface PlacementOrder {
  readonly engineName: string;
  readonly order: backends.EngineOrder;
  readonly reason: string;
}

interface PlanState {
  readonly engines: readonly PlacementEngine[];
  readonly models: readonly ModelDemand[];
  readonly targets: ReadonlyMap<string, number>;
  readonly options: PlanPlacementOptions;
  readonly orders: PlacementOrder[];
  /** Model slots in use on each engine, including those of loads ordered in this plan. */
  readonly usedSlots: Map<string, number>;
  loadsLeft: number;
}

/**
 * Computes orders that bring the loaded models closer to the catalogue's minimums and the demand.
 * Models whose load was ordered count as loaded, so that repeating a plan is harmless. A model is
 * unloaded only where it runs no generation and enough other engines have it loaded.
 *
 * @returns orders with at most as many loads as the weight store allows
 */
export function planPlacement(
  engines: readonly PlacementEngine[],
  models: readonly ModelDemand[],
  options: PlanPlacementOptions,
): readonly PlacementOrder[] {
  const stayingEngines = engines.filter((engine) => engine.isStaying);
  const slotsCount = stayingEngines.reduce((sum, engine) => sum + engine.modelSlotsCount, 0);
  const plan: PlanState = {
    engines: stayingEngines,
    models,
    targets: desired.computeDesiredCounts(models, stayingEngines.length, slotsCount),
    options,
    orders: [],
    usedSlots: new Map(stayingEngines.map((engine) => [engine.name, countUsedSlots(engine)])),
    loadsLeft: options.loadsAvailableCount,
  };
  for (const model of sortByShortage(plan)) loadMissing(plan, model);
  for (const model of models) loadMissingAdapters(plan, model);
  for (const engine of stayingEngines) unloadSurplus(plan, engine);
  return plan.orders;
}

/** Key of a model with its version. */
export function modelKeyOf(model: { readonly model: string; readonly version: string }): string {
  return `${model.model}/${model.version}`;
}

function countUsedSlots(engine: PlacementEngine): number {
  return new Set([...engine.loadedModels, ...engine.loadingModels].map(modelKeyOf)).size;
}

/** Sorts models by how many engines they lack to the minimum, then to the target; most first. */
function sortByShortage(plan: PlanState): readonly ModelDemand[] {
  const shortage = (model: ModelDemand): number =>
    (plan.targets.get(modelKeyOf(model)) ?? 0) - countEngines(plan.engines, model);
  const underMinimum = (model: ModelDemand): number =>
    Math.max(0, model.minLoadedEngines - countEngines(plan.engines, model));
  return [...plan.models].sort(
    (left, right) => underMinimum(right) - underMinimum(left) || shortage(right) - shortage(left),
  );
}

function loadMissing(plan: PlanState, model: ModelDemand): void {
  const target = plan.targets.get(modelKeyOf(model)) ?? 0;
  let missingCount = target - countEngines(plan.engines, model);
  for (const engine of sortByFreeSlots(plan)) {
    if (missingCount <= 0 || plan.loadsLeft <= 0) return;
    const usedSlots = plan.usedSlots.get(engine.name) ?? 0;
    if (usedSlots >= engine.modelSlotsCount || hasModel(engine, model)) continue;
    plan.usedSlots.set(engine.name, usedSlots + 1);
    plan.loadsLeft -= 1;
    missingCount -= 1;
    const reason = `${missingCount + 1} more engines should have the model loaded`;
    plan.orders.push(createLoadOrder(plan, engine, model, model.adapters[0], reason));
  }
}

function loadMissingAdapters(plan: PlanState, model: ModelDemand): void {
  for (const engine of plan.engines) {
    const loaded = engine.loadedModels.find((item) => modelKeyOf(item) === modelKeyOf(model));
    const loading = engine.loadingModels.find((item) => modelKeyOf(item) === modelKeyOf(model));
    if (loaded === undefined) continue;
    const present = [...loaded.adapters, ...(loading?.adapters ?? [])];
    for (const adapter of model.adapters.filter((item) => !present.includes(item))) {
      if (plan.loadsLeft <= 0) return;
      plan.loadsLeft -= 1;
      plan.orders.push(createLoadOrder(plan, engine, model, adapter, "the adapter is not loaded"));
    }
  }
}

/** Unloads at most one model that is in surplus and idle on an engine. */
function unloadSurplus(plan: PlanState, engine: PlacementEngine): void {
  if (isOrdered(plan, engine)) return;
  for (const loaded of engine.loadedModels) {
    const key = modelKeyOf(loaded);
    const demand = plan.models.find((model) => modelKeyOf(model) === key);
    const requiredCount = Math.max(plan.targets.get(key) ?? 0, demand?.minLoadedEngines ?? 0);
    const loadedCount = plan.engines.filter((item) => hasLoaded(item, loaded)).length;
    const unloadedCount = plan.orders.filter((item) => isUnloadOf(item.order, loaded)).length;
    const isSurplus = loadedCount - unloadedCount > requiredCount;
    const isIdle = (engine.runningCounts.get(key) ?? 0) === 0;
    if (!isSurplus || !isIdle) continue;
    plan.orders.push({
      engineName: engine.name,
      order: {
        kind: backends.OrderKind.UnloadModel,
        model: loaded.model,
        version: loaded.version,
        fencingNumber: plan.options.fencingNumber,
      },
      reason: `${loadedCount - unloadedCount} engines have the model loaded, ${requiredCount} are required`,
    });
    return;
  }
}

function createLoadOrder(
  plan: PlanState,
  engine: PlacementEngine,
  model: ModelDemand,
  adapter: string | undefined,
  reason: string,
): PlacementOrder {
  const order: backends.EngineOrder = {
    kind: backends.OrderKind.LoadModel,
    model: model.model,
    version: model.version,
    ...(adapter === undefined ? {} : { adapter }),
    fencingNumber: plan.options.fencingNumber,
  };
  return { engineName: engine.name, order, reason };
}

function sortByFreeSlots(plan: PlanState): readonly PlacementEngine[] {
  const free = (engine: PlacementEngine): number =>
    engine.modelSlotsCount - (plan.usedSlots.get(engine.name) ?? 0);
  const running = (engine: PlacementEngine): number =>
    [...engine.runningCounts.values()].reduce((sum, count) => sum + count, 0);
  return [...plan.engines].sort(
    (left, right) => free(right) - free(left) || running(left) - running(right),
  );
}

function countEngines(engines: readonly PlacementEngine[], model: ModelDemand): number {
  return engines.filter((engine) => hasModel(engine, model)).length;
}

function hasModel(
  engine: PlacementEngine,
  model: { readonly model: string; readonly version: string },
): boolean {
  const key = modelKeyOf(model);
  const isLoading = engine.loadingModels.some((item) => modelKeyOf(item) === key);
  return isLoading || hasLoaded(engine, model);
}

function hasLoaded(
  engine: PlacementEngine,
  model: { readonly model: string; readonly version: string },
): boolean {
  return engine.loadedModels.some((item) => modelKeyOf(item) === modelKeyOf(model));
}

function isOrdered(plan: PlanState, engine: PlacementEngine): boolean {
  return plan.orders.some((item) => item.engineName === engine.name);
}

function isUnloadOf(order: backends.EngineOrder, model: backends.LoadedModel): boolean {
  const isUnload = order.kind === backends.OrderKind.UnloadModel;
  return isUnload && order.model === model.model && order.version === model.version;
}

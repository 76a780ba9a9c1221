import * as backends from "../../backends/types.js";
import * as desired from "../_lib/desiredCounts/index.js";

/** An engine as placement sees it. */
export interface PlacementEngine {
  readonly name: string;
  /** Models that fit into the engine at the same time. */
  readonly modelSlotsCount: number;
  readonly loadedModels: readonly backends.LoadedModel[];
  /** Models ordered earlier that are not loaded yet. */
  readonly loadingModels: readonly backends.LoadedModel[];
  /** Generations that run, by `model/version`. */
  readonly runningCounts: ReadonlyMap<string, number>;
  /** Whether the engine stays: live, and not asked to leave. */
  readonly isStaying: boolean;
}

/** A model as the catalogue and the learned demand want it. */
export interface ModelDemand {
  readonly model: string;
  readonly version: string;
  readonly adapters: readonly string[];
  readonly minLoadedEngines: number;
  /** Learned demand, in any unit that is the same for all models. */
  readonly demand: number;
}

/** What bounds a plan. */
export interface PlanPlacementOptions {
  /** Offset of the placement lease's record; engines refuse orders with an older one. */
  readonly fencingNumber: number;
  /** Loads that the weight store allows now. */
  readonly loadsAvailableCount: number;
}

/** One order of a plan. */
export interface PlacementOrder {
  readonly engineName: string;
  readonly order: backends.EngineOrder;
  readonly reason: string;
}

interface Planning {
  readonly engines: readonly PlacementEngine[];
  readonly models: readonly ModelDemand[];
  readonly targets: ReadonlyMap<string, number>;
  readonly options: PlanPlacementOptions;
  readonly orders: PlacementOrder[];
  /** Slots taken on each engine, by what is loaded, loading and ordered in this plan. */
  readonly takenSlots: Map<string, number>;
  loadsLeft: number;
}

/**
 * Orders that bring the engines closer to what the catalogue and the demand want. Repeating a plan
 * on unchanged engines is harmless; a model is unloaded only where enough others have it loaded.
 *
 * @returns orders, at most as many loads as the weight store allows
 */
export function planPlacement(
  engines: readonly PlacementEngine[],
  models: readonly ModelDemand[],
  options: PlanPlacementOptions,
): readonly PlacementOrder[] {
  const staying = engines.filter((engine) => engine.isStaying);
  const slotsCount = staying.reduce((sum, engine) => sum + engine.modelSlotsCount, 0);
  const planning: Planning = {
    engines: staying,
    models,
    targets: desired.desiredCounts(models, staying.length, slotsCount),
    options,
    orders: [],
    takenSlots: new Map(staying.map((engine) => [engine.name, takenSlotsOf(engine)])),
    loadsLeft: options.loadsAvailableCount,
  };
  for (const model of byShortage(planning)) loadMissing(planning, model);
  for (const model of models) loadMissingAdapters(planning, model);
  for (const engine of staying) unloadSurplus(planning, engine);
  return planning.orders;
}

/** Key of a model with its version. */
export function modelKeyOf(model: { readonly model: string; readonly version: string }): string {
  return `${model.model}/${model.version}`;
}

function takenSlotsOf(engine: PlacementEngine): number {
  return new Set([...engine.loadedModels, ...engine.loadingModels].map(modelKeyOf)).size;
}

/** Models under their stated minimum first, then those that lack the most. */
function byShortage(planning: Planning): readonly ModelDemand[] {
  const shortage = (model: ModelDemand): number =>
    (planning.targets.get(modelKeyOf(model)) ?? 0) - countWith(planning.engines, model);
  const underMinimum = (model: ModelDemand): number =>
    Math.max(0, model.minLoadedEngines - countWith(planning.engines, model));
  return [...planning.models].sort(
    (left, right) => underMinimum(right) - underMinimum(left) || shortage(right) - shortage(left),
  );
}

function loadMissing(planning: Planning, model: ModelDemand): void {
  const target = planning.targets.get(modelKeyOf(model)) ?? 0;
  let missingCount = target - countWith(planning.engines, model);
  for (const engine of byFreeSlots(planning)) {
    if (missingCount <= 0 || planning.loadsLeft <= 0) return;
    const takenSlots = planning.takenSlots.get(engine.name) ?? 0;
    if (takenSlots >= engine.modelSlotsCount || hasModel(engine, model)) continue;
    planning.takenSlots.set(engine.name, takenSlots + 1);
    planning.loadsLeft -= 1;
    missingCount -= 1;
    const reason = `${missingCount + 1} more engines should have it loaded`;
    planning.orders.push(loadOrder(planning, engine, model, model.adapters[0], reason));
  }
}

function loadMissingAdapters(planning: Planning, model: ModelDemand): void {
  for (const engine of planning.engines) {
    const loaded = engine.loadedModels.find((item) => modelKeyOf(item) === modelKeyOf(model));
    const loading = engine.loadingModels.find((item) => modelKeyOf(item) === modelKeyOf(model));
    if (loaded === undefined) continue;
    const present = [...loaded.adapters, ...(loading?.adapters ?? [])];
    for (const adapter of model.adapters.filter((item) => !present.includes(item))) {
      if (planning.loadsLeft <= 0) return;
      planning.loadsLeft -= 1;
      planning.orders.push(loadOrder(planning, engine, model, adapter, "the adapter is missing"));
    }
  }
}

/** Makes room on an engine, one model at a time, where the model is in surplus and idle there. */
function unloadSurplus(planning: Planning, engine: PlacementEngine): void {
  if (isOrdered(planning, engine)) return;
  for (const loaded of engine.loadedModels) {
    const key = modelKeyOf(loaded);
    const wanted = planning.models.find((model) => modelKeyOf(model) === key);
    const keptCount = Math.max(planning.targets.get(key) ?? 0, wanted?.minLoadedEngines ?? 0);
    const loadedCount = planning.engines.filter((item) => hasLoaded(item, loaded)).length;
    const unloadedCount = planning.orders.filter((item) => isUnloadOf(item.order, loaded)).length;
    const isSurplus = loadedCount - unloadedCount > keptCount;
    const isIdle = (engine.runningCounts.get(key) ?? 0) === 0;
    if (!isSurplus || !isIdle) continue;
    planning.orders.push({
      engineName: engine.name,
      order: {
        kind: backends.OrderKind.UnloadModel,
        model: loaded.model,
        version: loaded.version,
        fencingNumber: planning.options.fencingNumber,
      },
      reason: `${loadedCount - unloadedCount} engines have it loaded, ${keptCount} are wanted`,
    });
    return;
  }
}

function loadOrder(
  planning: Planning,
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
    fencingNumber: planning.options.fencingNumber,
  };
  return { engineName: engine.name, order, reason };
}

function byFreeSlots(planning: Planning): readonly PlacementEngine[] {
  const free = (engine: PlacementEngine): number =>
    engine.modelSlotsCount - (planning.takenSlots.get(engine.name) ?? 0);
  const running = (engine: PlacementEngine): number =>
    [...engine.runningCounts.values()].reduce((sum, count) => sum + count, 0);
  return [...planning.engines].sort(
    (left, right) => free(right) - free(left) || running(left) - running(right),
  );
}

function countWith(engines: readonly PlacementEngine[], model: ModelDemand): number {
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

function isOrdered(planning: Planning, engine: PlacementEngine): boolean {
  return planning.orders.some((item) => item.engineName === engine.name);
}

function isUnloadOf(order: backends.EngineOrder, model: backends.LoadedModel): boolean {
  const isUnload = order.kind === backends.OrderKind.UnloadModel;
  return isUnload && order.model === model.model && order.version === model.version;
}

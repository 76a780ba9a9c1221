import * as catalogue from "../../catalogue/index.js";
import type * as engines from "../../engines/index.js";
import type * as types from "../types.js";

/**
 * Lists the engines of a data centre that may receive placement orders: those whose catalogue item
 * states their model slots and on which a home reports.
 *
 * @param reports - reports of the homes
 * @param pending - load orders whose effect no report shows yet
 */
export function toPlacementEngines(
  state: catalogue.CatalogueState,
  dataCentre: string,
  reports: readonly types.EngineReport[],
  pending: readonly types.PendingLoad[],
): readonly engines.PlacementEngine[] {
  return catalogue
    .listEngines(state)
    .filter((engine) => engine.dataCentre === dataCentre)
    .flatMap((engine) => {
      const report = reports.find((candidate) => candidate.name === engine.name);
      const { modelSlotsCount } = engine;
      if (report === undefined || modelSlotsCount === undefined) return [];
      const loadingModels = pending.filter((load) => load.engineName === engine.name).map(toModel);
      return {
        name: engine.name,
        modelSlotsCount,
        loadedModels: report.loadedModels,
        loadingModels,
        runningCounts: new Map(Object.entries(report.runningCounts)),
        isStaying: report.isStaying && engine.state === catalogue.DesiredState.Active,
      };
    });
}

/** Whether the reports show the effect of a load order. */
export function isLoadDone(
  load: types.PendingLoad,
  reports: readonly types.EngineReport[],
): boolean {
  const report = reports.find((candidate) => candidate.name === load.engineName);
  const loaded = report?.loadedModels.find(
    (model) => model.model === load.model && model.version === load.version,
  );
  if (loaded === undefined) return false;
  return load.adapter === null || loaded.adapters.includes(load.adapter);
}

function toModel(load: types.PendingLoad): engines.PlacementEngine["loadingModels"][number] {
  const adapters = load.adapter === null ? [] : [load.adapter];
  return { model: load.model, version: load.version, adapters };
}

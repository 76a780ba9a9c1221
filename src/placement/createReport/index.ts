import * as catalogue from "../../catalogue/index.js";
import * as engines from "../../engines/index.js";
import type * as generations from "../../generations/types.js";
import type * as types from "../types.js";

/**
 * Creates a VM's report to the holder of its data centre's placement lease.
 *
 * @param state - the catalogue, which contains the model of each entry
 * @param homeEngines - the engines whose home this VM is
 * @param waiting - generations that wait at this VM
 */
export function createReport(
  state: catalogue.CatalogueState,
  homeEngines: readonly generations.EngineStatus[],
  waiting: readonly generations.WaitingGeneration[],
): types.PlacementReport {
  return {
    engines: homeEngines.map(({ view, runs }) => ({
      name: view.name,
      loadedModels: view.loadedModels,
      isStaying: view.health === engines.EngineHealth.Live,
      runningCounts: countByModel(state, runs),
    })),
    waitingCounts: countByModel(state, waiting),
  };
}

function countByModel(
  state: catalogue.CatalogueState,
  generationsOfEntries: readonly { readonly entryName: string }[],
): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {};
  for (const { entryName } of generationsOfEntries) {
    const entry = catalogue.findGenerationEntry(state, entryName);
    if (entry === undefined) continue;
    const key = engines.modelKeyOf(entry);
    counts[key] = (counts[key] ?? 0) + 1;
  }
  return counts;
}

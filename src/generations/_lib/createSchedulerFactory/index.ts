import type * as catalogue from "../../../catalogue/types.js";
import * as catalogueTypes from "../../../catalogue/types.js";
import * as engines from "../../../engines/index.js";
import type * as contexts from "../context/index.js";

/** Maximum number of generations in one engine's batch; memory usually limits it earlier. */
const MAX_RUNNING_COUNT = 256;

/**
 * Creates the factory of the schedulers of this VM's engines.
 *
 * @param view - the catalogue, for the objectives of entries
 * @param lengths - learned output lengths, shared by all engines
 */
export function createSchedulerFactory(
  view: catalogue.CatalogueView,
  lengths: engines.LengthLearner,
): contexts.SchedulerFactory {
  return (engine) =>
    new engines.EngineScheduler({
      engineName: engine.name,
      dataCentre: engine.dataCentre,
      capacityTokens: engine.memoryTokens,
      maxRunningCount: MAX_RUNNING_COUNT,
      lengths,
      interTokenBoundMsOf: (entryName) => findInterTokenBoundMs(view, entryName),
    });
}

function findInterTokenBoundMs(view: catalogue.CatalogueView, entryName: string): number | null {
  const item = view.current().items.get(`generation/${entryName}`)?.item;
  if (item?.kind !== catalogueTypes.ItemKind.Generation) return null;
  if (item.class !== catalogueTypes.RequestClass.Streaming) return null;
  return item.objectives.interTokenMs ?? null;
}

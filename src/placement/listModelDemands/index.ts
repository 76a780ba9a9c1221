import * as catalogue from "../../catalogue/index.js";
import * as engines from "../../engines/index.js";

/**
 * Lists the adapters, the minimum count of engines and the demand of each model in the catalogue.
 *
 * @param state - the catalogue; entries of the same model and version form one demand with the
 * highest of their minimums
 * @param demandByModel - learned demand by `model/version`, in concurrent generations
 */
export function listModelDemands(
  state: catalogue.CatalogueState,
  demandByModel: ReadonlyMap<string, number>,
): readonly engines.ModelDemand[] {
  const demands = new Map<string, engines.ModelDemand>();
  for (const { item } of state.items.values()) {
    if (item.kind !== catalogue.ItemKind.Generation) continue;
    const key = engines.modelKeyOf(item);
    const known = demands.get(key);
    demands.set(key, {
      model: item.model,
      version: item.version,
      adapters: addAdapter(known?.adapters ?? [], item.adapter),
      minLoadedEngines: Math.max(known?.minLoadedEngines ?? 0, item.minLoadedEngines),
      demand: demandByModel.get(key) ?? 0,
    });
  }
  return [...demands.values()];
}

function addAdapter(known: readonly string[], adapter: string | undefined): readonly string[] {
  if (adapter === undefined || known.includes(adapter)) return known;
  return [...known, adapter];
}

import * as catalogue from "../../src/catalogue/types.js";
import type * as worlds from "../../standins/world/index.js";
import type * as types from "../types.js";
import * as scenarioVms from "./scenarioVm/index.js";
import * as vmSettings from "./vmSettings.js";

/** Account limits high enough that no scenario reaches them. */
const GENEROUS_LIMITS = {
  requestsPerSecond: 1_000,
  concurrentRequests: 1_000,
  tokensPerSecond: 1_000_000,
};

/** Creates the catalogue items of the backend servers and accounts that a scenario declares. */
export function createBaseItems(
  scenario: types.Scenario,
  world: worlds.StandInWorld,
): readonly catalogue.CatalogueItem[] {
  const engines = scenario.engines.map((engine): catalogue.EngineBackend => ({
    kind: catalogue.ItemKind.Engine,
    name: engine.name,
    dataCentre: engine.dataCentre,
    url: world.engines.get(engine.name)?.url ?? "",
    memoryTokens: engine.capacityTokens,
    checksFencing: engine.checksFencing,
    state: catalogue.DesiredState.Active,
  }));
  const services = scenario.services.map((service): catalogue.ServiceBackend => ({
    kind: catalogue.ItemKind.Service,
    name: service.name,
    service: service.service,
    dataCentre: service.dataCentre,
    url: world.services.get(service.name)?.url ?? "",
    state: catalogue.DesiredState.Active,
  }));
  const accounts = scenario.accounts.map((name): catalogue.ClientAccount => ({
    kind: catalogue.ItemKind.Account,
    name,
    owner: "scenario",
    keyHashes: [scenarioVms.hashKey(vmSettings.deriveKey(name))],
    ...GENEROUS_LIMITS,
  }));
  return [...engines, ...services, ...accounts];
}

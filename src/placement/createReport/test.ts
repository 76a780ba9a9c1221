import tap from "tap";

import * as catalogue from "../../catalogue/index.js";
import * as demands from "../listModelDemands/index.js";
import * as placementEngines from "../toPlacementEngines/index.js";
import * as reports from "./index.js";

function entry(name: string, minLoadedEngines: number, adapter?: string): catalogue.RevisedItem {
  const item: catalogue.GenerationEntry = {
    kind: catalogue.ItemKind.Generation,
    name,
    owner: "o",
    class: catalogue.RequestClass.Streaming,
    model: "drafter",
    version: "1",
    ...(adapter === undefined ? {} : { adapter }),
    maxTokens: 10,
    deadlineMs: 1_000,
    maxWaitingCount: 1,
    abandonAfterMs: null,
    keepFinishedMs: 1_000,
    minLoadedEngines,
    objectives: { targetRatio: 0.95 },
  };
  return { item, revision: 0 };
}

function engine(name: string, modelSlotsCount?: number): catalogue.RevisedItem {
  const item: catalogue.EngineBackend = {
    kind: catalogue.ItemKind.Engine,
    name,
    dataCentre: "a",
    url: "http://127.0.0.1:1",
    memoryTokens: 100,
    checksFencing: true,
    ...(modelSlotsCount === undefined ? {} : { modelSlotsCount }),
    state: catalogue.DesiredState.Active,
  };
  return { item, revision: 0 };
}

const STATE = catalogue.createCatalogueState(0, [
  entry("draft", 1),
  entry("draft-est", 2, "est"),
  engine("e1", 2),
  engine("e2"),
]);

const REPORT = { name: "e1", loadedModels: [], isStaying: true, runningCounts: {} };
const LOAD = {
  engineName: "e1",
  model: "drafter",
  version: "1",
  adapter: "est",
  orderedAtMs: 0,
};

tap.test("entries of one model form one demand with all adapters and the highest minimum", (t) => {
  const [demand, ...others] = demands.listModelDemands(STATE, new Map([["drafter/1", 3]]));
  t.same(others, []);
  t.match(demand, { adapters: ["est"], minLoadedEngines: 2, demand: 3 });
  t.end();
});

tap.test("waiting generations count for the model of their entry", (t) => {
  const waiting = {
    requestId: "r",
    entryName: "draft",
    accountName: "a",
    waitedMs: 1,
    producedTokens: 0,
    reason: "memory",
  };
  const unknown = { ...waiting, entryName: "removed" };
  t.same(reports.createReport(STATE, [], [waiting, waiting, unknown]).waitingCounts, {
    "drafter/1": 2,
  });
  t.end();
});

tap.test("only engines that state their model slots take part in placement", (t) => {
  const all = [REPORT, { ...REPORT, name: "e2" }];
  const placementEngine = placementEngines.toPlacementEngines(STATE, "a", all, []);
  t.same(
    placementEngine.map(({ name }) => name),
    ["e1"],
  );
  t.end();
});

tap.test("a load order is pending until the engine reports the model and its adapter", (t) => {
  const [placementEngine] = placementEngines.toPlacementEngines(STATE, "a", [REPORT], [LOAD]);
  t.same(placementEngine?.loadingModels, [{ model: "drafter", version: "1", adapters: ["est"] }]);
  const loaded = { model: "drafter", version: "1", adapters: [] as string[] };
  t.notOk(placementEngines.isLoadDone(LOAD, [{ ...REPORT, loadedModels: [loaded] }]));
  const complete = { ...loaded, adapters: ["est"] };
  t.ok(placementEngines.isLoadDone(LOAD, [{ ...REPORT, loadedModels: [complete] }]));
  t.end();
});

import tap from "tap";

import type * as backends from "../../backends/types.js";
import * as placements from "./index.js";

const OPTIONS = { fencingNumber: 7, loadsAvailableCount: 2 };

function model(name: string, demand: number, minLoadedEngines = 1): placements.ModelDemand {
  return { model: name, version: "1", adapters: [], minLoadedEngines, demand };
}

function engine(
  name: string,
  loaded: readonly string[],
  overrides: Partial<placements.PlacementEngine> = {},
): placements.PlacementEngine {
  return {
    name,
    modelSlotsCount: 1,
    loadedModels: loaded.map(loadedModel),
    loadingModels: [],
    runningCounts: new Map(),
    isStaying: true,
    ...overrides,
  };
}

function loadedModel(name: string): backends.LoadedModel {
  return { model: name, version: "1", adapters: [] };
}

function describe(orders: readonly placements.PlacementOrder[]): readonly string[] {
  return orders.map((item) => `${item.order.kind} ${item.order.model ?? ""} ${item.engineName}`);
}

tap.test("loads are limited by the weight store and carry the fencing number", (t) => {
  const engines = ["e1", "e2", "e3", "e4"].map((name) => engine(name, []));
  const orders = placements.planPlacement(engines, [model("a", 1)], OPTIONS);
  t.equal(orders.length, 2);
  t.ok(orders.every((item) => item.order.fencingNumber === 7));
  t.end();
});

tap.test("a model below its minimum is loaded before one with more demand", (t) => {
  const engines = [engine("e1", ["big"]), engine("e2", [])];
  const models = [model("big", 100), model("small", 0)];
  const orders = placements.planPlacement(engines, models, { ...OPTIONS, loadsAvailableCount: 1 });
  t.same(describe(orders), ["load-model small e2"]);
  t.end();
});

tap.test("a change of demand never unloads a model below its minimum", (t) => {
  const engines = ["e1", "e2", "e3"].map((name) => engine(name, ["old"]));
  const models = [model("old", 0, 2), model("new", 50, 1)];
  const orders = placements.planPlacement(engines, models, OPTIONS);
  t.same(describe(orders), ["unload-model old e1"]);
  t.end();
});

tap.test("a model is not unloaded from an engine where it runs generations", (t) => {
  const runningCounts = new Map([["old/1", 3]]);
  const engines = [engine("e1", ["old"], { runningCounts }), engine("e2", ["old"])];
  const orders = placements.planPlacement(engines, [model("new", 1, 0), model("old", 0)], OPTIONS);
  t.same(describe(orders), ["unload-model old e2"]);
  t.end();
});

tap.test("a model that is loading is not ordered again", (t) => {
  const engines = [engine("e1", [], { loadingModels: [loadedModel("a")] })];
  t.same(placements.planPlacement(engines, [model("a", 1)], OPTIONS), []);
  t.end();
});

tap.test("leaving engines do not count and are replaced", (t) => {
  const engines = [engine("e1", ["a"], { isStaying: false }), engine("e2", [])];
  const orders = placements.planPlacement(engines, [model("a", 1)], OPTIONS);
  t.same(describe(orders), ["load-model a e2"]);
  t.end();
});

tap.test("a missing adapter is loaded on the engine that has its model", (t) => {
  const engines = [engine("e1", ["a"])];
  const demand = { ...model("a", 1), adapters: ["x"] };
  const [order] = placements.planPlacement(engines, [demand], OPTIONS);
  t.equal(order?.order.adapter, "x");
  t.end();
});

tap.test(
  "repeated plans converge when engines carry out the orders, and keep every minimum",
  (t) => {
    const models = [model("a", 10, 2), model("b", 30, 1), model("c", 0, 1)];
    let engines = ["e1", "e2", "e3", "e4", "e5", "e6"].map((name) => engine(name, ["a"]));
    for (let round = 0; round < 20; round += 1) {
      const orders = placements.planPlacement(engines, models, OPTIONS);
      engines = engines.map((item) => ({ ...item, loadedModels: applyOrders(item, orders) }));
      const count = engines.filter((item) => item.loadedModels.some((l) => l.model === "a")).length;
      t.ok(count >= 2, `round ${round}`);
    }
    t.same(placements.planPlacement(engines, models, OPTIONS), []);
    t.ok(engines.some((item) => item.loadedModels.some((l) => l.model === "c")));
    t.end();
  },
);

function applyOrders(
  item: placements.PlacementEngine,
  orders: readonly placements.PlacementOrder[],
): readonly backends.LoadedModel[] {
  let loaded = item.loadedModels;
  for (const { order } of orders.filter((other) => other.engineName === item.name)) {
    const name = order.model ?? "";
    loaded = loaded.filter((other) => other.model !== name);
    if ((order.kind as string) === "load-model") loaded = [...loaded, loadedModel(name)];
  }
  return loaded;
}

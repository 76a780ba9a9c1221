import tap from "tap";

import * as catalogue from "../../catalogue/index.js";
import * as platform from "../../controlPlane/types.js";
import * as backends from "./index.js";

function createEngineItem(name: string, url: string): catalogue.RevisedItem {
  const item: catalogue.EngineBackend = {
    kind: catalogue.ItemKind.Engine,
    name,
    dataCentre: "a",
    url,
    memoryTokens: 1,
    checksFencing: false,
    state: catalogue.DesiredState.Active,
  };
  return { item, revision: 0 };
}

const STATE = catalogue.createCatalogueState(0, [
  createEngineItem("engine-1", "http://127.0.0.1:9001"),
  createEngineItem("engine-2", "http://127.0.0.2:9001"),
]);

function findNamesLeavingWith(vm: Partial<platform.ListedVm>): readonly string[] {
  const { Leaving } = platform.VmListing;
  const listed = { name: "vm", dataCentre: "a", address: "127.9.9.9", listing: Leaving, ...vm };
  return backends.findLeavingBackends(STATE, [listed]).map((backend) => backend.name);
}

tap.test("a leaving VM matches a backend server by name or address", (t) => {
  t.same(findNamesLeavingWith({ name: "engine-1" }), ["engine-1"]);
  t.same(findNamesLeavingWith({ address: "127.0.0.2" }), ["engine-2"]);
  t.same(findNamesLeavingWith({ address: "127.0.0.2:9001" }), ["engine-2"]);
  t.end();
});

tap.test("a leaving VM with another port of the same address does not match", (t) => {
  t.same(findNamesLeavingWith({ address: "127.0.0.2:9002" }), []);
  t.end();
});

tap.test("a live VM matches no backend server", (t) => {
  t.same(findNamesLeavingWith({ name: "engine-1", listing: platform.VmListing.Live }), []);
  t.end();
});

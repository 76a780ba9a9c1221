import tap from "tap";

import * as catalogue from "../../catalogue/index.js";
import * as platform from "../../controlPlane/types.js";
import * as backends from "./index.js";

function engine(name: string, url: string): catalogue.RevisedItem {
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
  engine("engine-1", "http://127.0.0.1:9001"),
  engine("engine-2", "http://127.0.0.2:9001"),
]);

function namesFor(vm: Partial<platform.ListedVm>): readonly string[] {
  const { Leaving } = platform.VmListing;
  const listed = { name: "vm", dataCentre: "a", address: "127.9.9.9", listing: Leaving, ...vm };
  return backends.findLeavingBackends(STATE, [listed]).map((backend) => backend.name);
}

tap.test("a backend server leaves with the VM of its name or address", (t) => {
  t.same(namesFor({ name: "engine-1" }), ["engine-1"]);
  t.same(namesFor({ address: "127.0.0.2" }), ["engine-2"]);
  t.same(namesFor({ address: "127.0.0.2:9001" }), ["engine-2"]);
  t.end();
});

tap.test("another port of the address is another server", (t) => {
  t.same(namesFor({ address: "127.0.0.2:9002" }), []);
  t.end();
});

tap.test("a live VM changes nothing", (t) => {
  t.same(namesFor({ name: "engine-1", listing: platform.VmListing.Live }), []);
  t.end();
});

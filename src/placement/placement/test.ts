import * as neverthrow from "neverthrow";
import tap from "tap";

import * as loggers from "../../_lib/logger/index.js";
import * as randoms from "../../_lib/random/index.js";
import * as virtualClocks from "../../_lib/virtualClock/index.js";
import * as backends from "../../backends/types.js";
import * as catalogue from "../../catalogue/index.js";
import * as fleet from "../../fleet/index.js";
import * as appendBudgets from "../../controlPlane/appendBudget/index.js";
import * as catalogueViews from "../../../standins/catalogue/view/index.js";
import * as engineClients from "../../../standins/engine/client/index.js";
import * as engineDefaults from "../../../standins/engine/defaultOptions/index.js";
import * as engineModels from "../../../standins/engine/model/index.js";
import * as fleetViews from "../../../standins/fleet/view/index.js";
import * as logModels from "../../../standins/log/model/index.js";
import * as hubs from "../../../standins/peers/hub/index.js";
import * as counterModels from "../../../standins/telemetry/counters/index.js";
import * as placements from "./index.js";

const ENGINE: catalogue.EngineBackend = {
  kind: catalogue.ItemKind.Engine,
  name: "e1",
  dataCentre: "a",
  url: "http://127.0.0.1:1",
  memoryTokens: 1_000,
  checksFencing: true,
  modelSlotsCount: 1,
  state: catalogue.DesiredState.Active,
};

const ENTRY: catalogue.GenerationEntry = {
  kind: catalogue.ItemKind.Generation,
  name: "draft",
  owner: "o",
  class: catalogue.RequestClass.Streaming,
  model: "drafter",
  version: "2",
  maxTokens: 10,
  deadlineMs: 1_000,
  maxWaitingCount: 1,
  abandonAfterMs: null,
  keepFinishedMs: 1_000,
  minLoadedEngines: 1,
  objectives: { targetRatio: 0.95 },
};

/** VMs of one data centre that compete for the placement lease of one engine. */
class PlacementGroup {
  readonly clock = new virtualClocks.VirtualClock();
  readonly log = new logModels.LogModel(this.clock);
  readonly counters = new counterModels.CounterModel();
  readonly model: engineModels.EngineModel;
  readonly placements: placements.Placement[] = [];
  loadsAvailableCount = 10;
  private readonly hub = new hubs.PeerHub(this.clock);

  constructor(vmNames: readonly string[]) {
    const options = engineDefaults.createDefaultEngineOptions("e1", []);
    this.model = new engineModels.EngineModel(options, this.clock, randoms.createRandom(1));
    for (const name of vmNames) this.placements.push(this.createPlacement(name, vmNames));
  }

  private createPlacement(name: string, vmNames: readonly string[]): placements.Placement {
    const { clock, counters, log } = this;
    const identities = vmNames.map((vmName) => fleetViews.createVmIdentity(vmName, "a"));
    const self = fleetViews.createVmIdentity(name, "a");
    const budget = new appendBudgets.AppendBudget(clock, () => vmNames.length);
    const placement = new placements.Placement(
      clock,
      loggers.NOOP_LOGGER,
      counters,
      this.hub.join(name),
      new fleetViews.FakeFleetView(self, identities),
      new catalogueViews.FakeCatalogueView([ENGINE, ENTRY]),
      new engineClients.ModelEngineClients(new Map([["e1", this.model]]), clock),
      { status: async () => neverthrow.ok(this.weightStatus()) },
      new fleet.LeaseHolder(
        { ...fleet.DEFAULT_LEASE_OPTIONS, vmName: name },
        log,
        budget,
        clock,
        loggers.NOOP_LOGGER,
        counters,
      ),
    );
    placement.start(() => ({
      engines: [
        {
          name: "e1",
          loadedModels: this.model.orders.loadedModels,
          isStaying: true,
          runningCounts: {},
        },
      ],
      waitingCounts: {},
    }));
    return placement;
  }

  private weightStatus(): { loadsPerMinuteLimit: number; loadsAvailableCount: number } {
    return { loadsPerMinuteLimit: 10, loadsAvailableCount: this.loadsAvailableCount };
  }
}

tap.test("a model that an entry requires is loaded once", async (t) => {
  const group = new PlacementGroup(["vm-1", "vm-2", "vm-3"]);
  await group.clock.runForMs(40_000);
  t.ok(group.model.orders.hasModel("drafter", "2", null));
  t.equal(group.counters.countOf("placement.orders"), 1, "a single VM sent a single order");
});

tap.test("no model is loaded until the weight store allows a load", async (t) => {
  const group = new PlacementGroup(["vm-1"]);
  group.loadsAvailableCount = 0;
  await group.clock.runForMs(40_000);
  t.notOk(group.model.orders.hasModel("drafter", "2", null));
  group.loadsAvailableCount = 1;
  await group.clock.runForMs(20_000);
  t.ok(group.model.orders.hasModel("drafter", "2", null));
});

tap.test("an engine that has accepted a higher fencing number refuses lower ones", async (t) => {
  const group = new PlacementGroup(["vm-1"]);
  const newer = { kind: backends.OrderKind.SetRole, role: "mixed", fencingNumber: 1_000 };
  t.ok(group.model.orders.execute(newer).isOk());
  await group.clock.runForMs(40_000);
  t.notOk(group.model.orders.hasModel("drafter", "2", null));
  t.ok(group.counters.countOf("placement.orders") > 0, "orders were sent and refused");
});

tap.test("no order is sent while the log is down", async (t) => {
  const group = new PlacementGroup(["vm-1"]);
  group.log.inject(logModels.LogFault.Down);
  await group.clock.runForMs(60_000);
  t.equal(group.counters.countOf("placement.orders"), 0);
  group.log.heal(logModels.LogFault.Down);
  await group.clock.runForMs(60_000);
  t.equal(group.counters.countOf("placement.orders"), 1);
});

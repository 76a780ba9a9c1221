import * as msgpackr from "msgpackr";
import tap from "tap";

import * as counters from "../../../../standins/telemetry/counters/index.js";
import * as fleetViews from "../../../../standins/fleet/view/index.js";
import * as loggers from "../../../_lib/logger/index.js";
import * as randoms from "../../../_lib/random/index.js";
import * as virtualClocks from "../../../_lib/virtualClock/index.js";
import * as engines from "../../../engines/index.js";
import * as telemetry from "../../../telemetry/index.js";
import type * as contexts from "../context/index.js";
import * as viewPublishers from "./index.js";

const DATA_CENTRES_COUNT = 19;
const VMS_PER_DATA_CENTRE = 25;
const ENGINES_PER_VM = 26;
const MODELS_COUNT = 19;
const RUN_SECONDS = 300;
/** Bound of a VM's traffic for engine views, in the fleet size expected in two years. */
const BUDGET_BYTES_PER_SECOND = 3_000;

function createView(index: number, random: randoms.RandomSource): engines.EngineView {
  return {
    name: `engine-${index}`,
    dataCentre: "dc-0",
    health: engines.EngineHealth.Live,
    capacityTokens: 400_000,
    reservedTokens: 400_000 * (0.85 + 0.1 * random.next()),
    runningCount: 40 + Math.floor(random.next() * 6),
    waitingCount: 0,
    stepTimeMs: 40 + 4 * random.next(),
    loadedModels: [{ model: `model-${index % MODELS_COUNT}`, version: "1", adapters: [] }],
    ageMs: 0,
    sentSinceTokens: 0,
    sentSinceCount: 0,
  };
}

tap.test("a VM of a fleet of 475 VMs sends less than 3000 bytes/s of engine views", (t) => {
  const clock = new virtualClocks.VirtualClock();
  const random = randoms.createRandom(3);
  const identities = Array.from({ length: DATA_CENTRES_COUNT * VMS_PER_DATA_CENTRE }, (_, index) =>
    fleetViews.createVmIdentity(`vm-${index}`, `dc-${index % DATA_CENTRES_COUNT}`),
  );
  let sentBytes = 0;
  const link = {
    selfName: "vm-0",
    notify: (vmName: string, method: string, params: unknown) => {
      if (vmName !== "vm-0") sentBytes += msgpackr.pack([method, params]).length;
      return true;
    },
  };
  const context: contexts.GenerationContext = {
    clock,
    random,
    logger: loggers.NOOP_LOGGER,
    metrics: new counters.CounterModel(),
    tracer: telemetry.NOOP_TRACER,
    link: link as unknown as contexts.GenerationContext["link"],
    fleet: new fleetViews.FakeFleetView(identities[0]!, identities),
    catalogue: {} as contexts.GenerationContext["catalogue"],
    engineClients: {} as contexts.GenerationContext["engineClients"],
    createScheduler: () => {
      throw new Error("no scheduler is needed");
    },
  };
  const publisher = new viewPublishers.ViewPublisher(context);
  for (let second = 0; second < RUN_SECONDS; second += 1) {
    clock.advanceToMs(second * 1_000);
    const views = Array.from({ length: ENGINES_PER_VM }, (_, index) => createView(index, random));
    publisher.publish(views, views);
  }
  const bytesPerSecond = Math.round(sentBytes / RUN_SECONDS);
  t.comment(`${bytesPerSecond} bytes/s sent`);
  t.ok(bytesPerSecond < BUDGET_BYTES_PER_SECOND, `${bytesPerSecond} bytes/s`);
  t.end();
});

import type * as clocks from "../../../_lib/clock/index.js";
import type * as loggers from "../../../_lib/logger/index.js";
import type * as randoms from "../../../_lib/random/index.js";
import type * as backends from "../../../backends/types.js";
import type * as catalogue from "../../../catalogue/types.js";
import type * as engines from "../../../engines/types.js";
import type * as fleet from "../../../fleet/types.js";
import type * as telemetry from "../../../telemetry/types.js";
import type * as peerLinks from "../peerLink/index.js";

/** Creates the scheduler of an engine whose home this VM becomes. */
export type SchedulerFactory = (engine: catalogue.EngineBackend) => engines.EngineScheduler;

/** Dependencies shared by all parts of the generation service. */
export interface GenerationContext {
  readonly clock: clocks.Clock;
  readonly random: randoms.RandomSource;
  readonly logger: loggers.Logger;
  readonly metrics: telemetry.Metrics;
  readonly tracer: telemetry.Tracer;
  readonly link: peerLinks.PeerLink;
  readonly fleet: fleet.FleetView;
  readonly catalogue: catalogue.CatalogueView;
  readonly engineClients: backends.EngineClients;
  readonly createScheduler: SchedulerFactory;
}

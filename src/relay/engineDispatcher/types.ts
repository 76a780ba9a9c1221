import type * as clocks from "../../_lib/clock/index.js";
import type * as randoms from "../../_lib/random/index.js";
import type * as dispatch from "../../dispatch/index.js";
import type * as routing from "../../routing/index.js";
import type * as servers from "../../servers/index.js";

/** A request to claim an engine for a generation. */
export interface PlacementRequest {
  readonly requestId: string;
  readonly serviceName: string;
  readonly need: dispatch.GenerationNeed;
  /** Purpose of the claim. */
  readonly role: dispatch.ClaimRole.Run | dispatch.ClaimRole.Migration;
  readonly priority: number;
  /** Name of the client account; null for anonymous callers, absent for migrations. */
  readonly accountName?: string | null;
  /** Expected duration of the run; its placement must leave this time before the deadline. */
  readonly expectedRunMs: number;
  /** When the objective for the first event ends, on this VM's monotonic clock. */
  readonly objectiveAtMs: number;
  readonly deadlineAtMs: number;
  /** Servers that refused the generation or could not be reached. */
  readonly avoidedIds: ReadonlySet<string>;
  /** Aborted when the placement is no longer needed, such as when the caller disconnects. */
  readonly signal: AbortSignal;
}

/** An engine that was claimed for a generation. */
export interface Placement {
  readonly server: servers.KnownServer;
  /** Expected time from the claim to the first event. */
  readonly expectedFirstEventMs: number;
  /** The same on an engine of typical speed. */
  readonly nominalFirstEventMs: number;
  /** Time between the request for the placement and the claim. */
  readonly waitedMs: number;
  /** Number of engines that were considered. */
  readonly candidatesCount: number;
  /** Number of generations in the fleet's queue for the service. */
  readonly queuedCount: number;
}

/** Why no engine was claimed for a generation. */
export interface PlacementRefusal {
  readonly kind: "no-server" | "evacuated" | "no-room" | "caller-gone" | "stopping";
  readonly expectedWaitMs: number;
  readonly queuedCount: number;
  /** Share and use of its account; absent unless accounts compete for memory that does not suffice. */
  readonly share?: dispatch.AccountShare;
}

/** Dependencies of the dispatcher. */
export interface DispatcherContext {
  readonly clock: clocks.Clock;
  readonly random: randoms.RandomSource;
  readonly vmName: string;
  readonly dataCentre: string;
  readonly directory: servers.ServerDirectory;
  readonly trust: servers.ServerTrust;
  readonly backpressure: servers.ServerBackpressure;
  readonly claims: dispatch.ClaimTable;
  /** Generations that wait at the other VMs. */
  readonly fleetQueue: dispatch.FleetQueue;
  /** Announces claims and waiting generations to the other VMs. */
  readonly broadcast: dispatch.WorkBroadcast;
  /** Returns the traits of a service's engines; null for plain services. */
  readonly engineTraits: (serviceName: string) => routing.EngineTraits | null;
  /** Returns the longest pause between events that the routes to a service allow; null if not set. */
  readonly targetGapMs?: (serviceName: string) => number | null;
}

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
  readonly role: dispatch.ClaimRole.Run | dispatch.ClaimRole.Move;
  readonly priority: number;
  /** Time that the run needs between its placement and its deadline, in milliseconds. */
  readonly expectedRunMs: number;
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
  readonly expectedFirstEventMs: number;
  readonly waitedMs: number;
  /** Number of engines that were considered. */
  readonly candidatesCount: number;
  /** Number of generations in the fleet's queue for the service. */
  readonly queuedCount: number;
}

/** Why no engine was claimed for a generation. */
export interface PlacementRefusal {
  readonly kind: "no-server" | "no-room" | "caller-gone";
  readonly expectedWaitMs: number;
  readonly queuedCount: number;
}

/** Dependencies of the dispatcher. */
export interface DispatcherContext {
  readonly clock: clocks.Clock;
  readonly random: randoms.RandomSource;
  readonly vmName: string;
  readonly dataCentre: string;
  readonly directory: servers.ServerDirectory;
  readonly trust: servers.ServerTrust;
  readonly claims: dispatch.ClaimTable;
  /** Generations that wait at the other VMs. */
  readonly fleetQueue: dispatch.WaitingBoard;
  readonly broadcast: dispatch.WorkBroadcast;
  readonly engineTraits: (serviceName: string) => routing.EngineTraits | null;
}

import type * as clocks from "../../_lib/clock/index.js";
import type * as randoms from "../../_lib/random/index.js";
import type * as dispatch from "../../dispatch/index.js";
import type * as routing from "../../routing/index.js";
import type * as servers from "../../servers/index.js";

/** What a generation asks of the dispatcher. */
export interface PlacementRequest {
  readonly requestId: string;
  readonly serviceName: string;
  readonly need: dispatch.GenerationNeed;
  /** What the engine is claimed for. */
  readonly role: dispatch.ClaimRole.Run | dispatch.ClaimRole.Move;
  readonly priority: number;
  /** Time that is left after the placement for it to be of use, in milliseconds. */
  readonly expectedRunMs: number;
  readonly objectiveAtMs: number;
  readonly deadlineAtMs: number;
  /** Servers that refused the generation or could not be reached. */
  readonly avoidedIds: ReadonlySet<string>;
  /** Aborted once the caller is gone. */
  readonly signal: AbortSignal;
}

/** An engine that was claimed for a generation. */
export interface Placement {
  readonly server: servers.KnownServer;
  readonly expectedFirstEventMs: number;
  readonly waitedMs: number;
  /** Engines that were weighed. */
  readonly candidatesCount: number;
  /** Generations that stood in the queue, at all VMs. */
  readonly queuedCount: number;
}

/** Why a generation found no engine. */
export interface PlacementRefusal {
  readonly kind: "no-server" | "no-room" | "caller-gone";
  readonly expectedWaitMs: number;
  readonly queuedCount: number;
}

/** What the dispatcher decides with. */
export interface DispatcherContext {
  readonly clock: clocks.Clock;
  readonly random: randoms.RandomSource;
  readonly vmName: string;
  readonly dataCentre: string;
  readonly directory: servers.ServerDirectory;
  readonly trust: servers.ServerTrust;
  readonly claims: dispatch.ClaimTable;
  /** What waits at the other VMs. */
  readonly board: dispatch.WaitingBoard;
  readonly broadcast: dispatch.WorkBroadcast;
  readonly engineTraits: (serviceName: string) => routing.EngineTraits | null;
}

import type * as clocks from "../../_lib/clock/index.js";
import type * as crashes from "../../crashes/index.js";
import type * as diagnostics from "../../diagnostics/index.js";
import type * as dispatch from "../../dispatch/index.js";
import type * as fleet from "../../fleet/index.js";
import type * as serverLinks from "../../serverLinks/index.js";
import type * as servers from "../../servers/index.js";
import type * as workExchanges from "../_lib/workExchange/index.js";
import type * as topicReplicas from "../topicReplica/index.js";
import type * as types from "../types.js";

/** Dependencies of the peer mesh. */
export interface MeshContext extends workExchanges.WorkContext {
  readonly clock: clocks.Clock;
  readonly socket: fleet.DatagramSocket;
  readonly self: types.MeshIdentity;
  readonly replicas: ReadonlyMap<types.Topic, topicReplicas.TopicReplica>;
  readonly log: diagnostics.DecisionLog;
  /** Whether the store answered this VM's last calls. */
  readonly reachesStore: () => boolean;
  /** What this VM has seen of its own links to the backend servers lately. */
  readonly linkState: () => serverLinks.LinkState;
  /** Called when a peer reports a replica that is ahead of this VM's. */
  readonly onReplicaBehind: (
    topic: types.Topic,
    peer: types.Peer,
    peerState: types.ReplicaState,
  ) => void;
  /** Lists the services whose servers have rejected requests lately. */
  readonly listOverloads: () => readonly servers.Overload[];
  /** Called with each such service that a peer reports. */
  readonly onOverload: (overload: servers.Overload) => void;
  /** Lists the statements on rates that this VM has received from servers. */
  readonly listRateStatements: () => readonly servers.RateStatement[];
  /** Called with each statement that a peer has received. */
  readonly onRateStatement: (statement: servers.RateStatement) => void;
  /** Lists what this VM has observed of engines' speeds. */
  readonly listEngineSpeeds: () => readonly dispatch.SpeedStatement[];
  /** Called with what a peer has observed of an engine's speed. */
  readonly onEngineSpeed: (vmName: string, statement: dispatch.SpeedStatement) => void;
  /** Lists what this VM knows of work that ends servers. */
  readonly listSuspects: () => readonly crashes.SuspectReport[];
  /** Called with what a peer knows of it. */
  readonly onSuspects: (reports: readonly crashes.SuspectReport[]) => void;
}

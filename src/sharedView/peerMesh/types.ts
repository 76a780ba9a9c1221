import type * as clocks from "../../_lib/clock/index.js";
import type * as crashes from "../../crashes/index.js";
import type * as diagnostics from "../../diagnostics/index.js";
import type * as fleet from "../../fleet/index.js";
import type * as serverLinks from "../../serverLinks/index.js";
import type * as serverReports from "../_lib/serverReports/index.js";
import type * as workExchanges from "../_lib/workExchange/index.js";
import type * as topicReplicas from "../topicReplica/index.js";
import type * as types from "../types.js";

/** Dependencies of the peer mesh. */
export interface MeshContext extends workExchanges.WorkContext, serverReports.ServerReportContext {
  readonly clock: clocks.Clock;
  readonly socket: fleet.DatagramSocket;
  readonly self: types.MeshIdentity;
  readonly replicas: ReadonlyMap<types.Topic, topicReplicas.TopicReplica>;
  readonly log: diagnostics.DecisionLog;
  readonly meters: Pick<diagnostics.Meters, "internalErrors">;
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
  /** Lists what this VM knows of work that ends servers. */
  readonly listSuspects: () => readonly crashes.SuspectReport[];
  /** Called with what a peer knows of it. */
  readonly onSuspects: (reports: readonly crashes.SuspectReport[]) => void;
}

import type * as clocks from "../../../_lib/clock/index.js";
import * as serverLinks from "../../../serverLinks/index.js";
import type * as topicReplicas from "../../topicReplica/index.js";
import type * as types from "../../types.js";
import * as clockReadings from "../clockReading/index.js";
import * as datagrams from "../datagrams/index.js";
import * as topicStateCodec from "../topicStateCodec/index.js";

/** What a heartbeat reports besides the sender's identity. */
export interface HeartbeatState {
  readonly clock: clocks.Clock;
  readonly echo: Pick<datagrams.Heartbeat, "echo" | "echoStartedAtWallMs">;
  readonly reachesStore: boolean;
  readonly linkState: serverLinks.LinkState;
  readonly isHub: boolean;
  readonly replicaOf: (topic: types.Topic) => topicReplicas.TopicReplica;
  readonly reports: Pick<
    datagrams.Heartbeat,
    "rateStatements" | "overloads" | "loads" | "engineSpeeds"
  >;
}

/** Creates a heartbeat for one peer. */
export function createHeartbeat(
  self: types.MeshIdentity,
  state: HeartbeatState,
): datagrams.Heartbeat {
  return {
    kind: datagrams.DatagramKind.Heartbeat,
    vmName: self.vmName,
    host: self.host,
    port: self.port,
    dataCentre: self.dataCentre,
    coresCount: self.coresCount,
    startedAtWallMs: self.startedAtWallMs,
    sentAt: clockReadings.readClocks(state.clock),
    ...state.echo,
    reachesStore: state.reachesStore,
    reachesServers: state.linkState !== serverLinks.LinkState.Failing,
    linkState: state.linkState,
    isAnchor: state.isHub,
    ...topicStateCodec.encodeTopicStates(state.replicaOf),
    ...state.reports,
  };
}

import * as diagnostics from "../../diagnostics/index.js";
import type * as servers from "../../servers/index.js";
import * as clockReadings from "../_lib/clockReading/index.js";
import * as crashExchanges from "../_lib/crashExchange/index.js";
import * as heartbeats from "../_lib/createHeartbeat/index.js";
import * as datagrams from "../_lib/datagrams/index.js";
import * as peerTables from "../_lib/peerTable/index.js";
import * as encodeRecordParts from "../_lib/encodeRecordParts/index.js";
import * as ownEchoes from "../_lib/readOwnEcho/index.js";
import * as serverReports from "../_lib/serverReports/index.js";
import * as topicStateCodec from "../_lib/topicStateCodec/index.js";
import * as workExchanges from "../_lib/workExchange/index.js";
import * as workAggregators from "../_lib/workAggregator/index.js";
import * as constants from "../constants.js";
import * as topicReplicas from "../topicReplica/index.js";
import * as types from "../types.js";
import type * as meshTypes from "./types.js";

const { Importance, LogEvent } = diagnostics;
const { DatagramKind } = datagrams;

export type * from "./types.js";

/**
 * Exchanges datagrams between VMs: heartbeats with the age of each VM's view of the store, records
 * that a VM has read from the store, claims on engines, and waiting generations.
 */
export class PeerMesh implements Disposable {
  /** Sends claims on engines and waiting generations to the peers, and applies theirs. */
  readonly work: workExchanges.WorkExchange;
  /** Tells the peers what work has ended servers. */
  readonly crashes: crashExchanges.CrashExchange;
  private readonly table: peerTables.PeerTable;
  private readonly aggregator: workAggregators.WorkAggregator;
  private readonly subscription: Disposable;
  private timer: Disposable;
  private heartbeatRoundsCount = 0;
  /** Whether this VM is a hub, as of its last heartbeat round. */
  private isHub = false;

  constructor(private readonly context: meshTypes.MeshContext) {
    this.table = new peerTables.PeerTable(context.clock, context.self);
    const { vmName } = context.self;
    const send = (message: Buffer, { host, port }: types.VmAddress): void =>
      context.socket.send(message, host, port);
    const routes = (): workAggregators.WorkRoutes => this.table.selectWorkRoutes();
    const { clock } = context;
    this.aggregator = new workAggregators.WorkAggregator({ clock, vmName, routes, send });
    this.work = new workExchanges.WorkExchange(context, (message) =>
      this.aggregator.broadcast(message),
    );
    this.crashes = new crashExchanges.CrashExchange({
      vmName,
      livePeers: () => this.table.livePeers(),
      send,
      listReports: context.listSuspects,
      onReports: context.onSuspects,
    });
    this.subscription = context.socket.onMessage((bytes) => this.receive(bytes));
    this.timer = context.clock.schedule(0, this.runHeartbeatRound);
  }

  /** Peers whose heartbeats are not overdue. */
  livePeers = (): readonly types.Peer[] => this.table.livePeers();

  /** Number of live VMs, including this one. */
  get liveVmsCount(): number {
    return this.table.livePeers().length + 1;
  }

  /** Rank of this VM among those that read the store for the others, from 0. */
  get readerRank(): number {
    return this.table.readerRank(this.context.reachesStore());
  }

  /** Whether this VM is a preferred reader, which polls the store for the others if it reaches it. */
  get isPreferredReader(): boolean {
    return this.table.isPreferredReader;
  }

  /** Place of this VM among all live VMs, or all known ones, in an order that depends on the key. */
  rankFor = (key: string, amongAllKnown = false): servers.VmRank =>
    this.table.rankFor(key, amongAllKnown);

  /** Names of all known VMs, in the same order. */
  orderVms = (key: string): readonly string[] => this.table.orderVms(key);

  /** Whether a data centre's VMs have fallen silent, which suggests a network partition. */
  isDataCentreSilent = (dataCentre: string): boolean => this.table.isDataCentreSilent(dataCentre);

  /** Adds a VM's address, and sends it a heartbeat if the address is new. */
  addPeerAddress(address: types.VmAddress): void {
    if (this.table.addPeerAddress(address)) this.sendHeartbeat(address);
  }

  /**
   * Sends the live peers records that this VM has read from the store. If a record does not fit a
   * datagram, heartbeats report the new state instead, and the peers fetch the topic.
   */
  broadcastRecords(topic: types.Topic, fromOffset: number, batch: types.RecordBatch): void {
    if (batch.records.length === 0) return;
    const { vmName } = this.context.self;
    const messages = encodeRecordParts.encodeRecordParts(vmName, topic, fromOffset, batch);
    if (messages === null) this.announceState();
    else for (const message of messages) this.broadcast(message);
  }

  /**
   * Reports the state of this VM's replicas at once, so that peers which are behind fetch the topic. A listing is never
   * sent as records: it lacks the records by which keys were deleted.
   */
  announceState(): void {
    this.table.listAddresses().forEach(this.sendHeartbeat);
  }

  /** Sends all live peers a message that this VM leaves the fleet. */
  sendLeave(): void {
    const message = { kind: DatagramKind.Leave, vmName: this.context.self.vmName } as const;
    this.broadcast(datagrams.encodeDatagram(message));
  }

  [Symbol.dispose](): void {
    this.subscription[Symbol.dispose]();
    this.timer[Symbol.dispose]();
    this.aggregator[Symbol.dispose]();
  }

  private readonly runHeartbeatRound = (): void => {
    // Scheduled first, so that an error in one round does not end all later ones.
    const intervalMs = this.table.heartbeatIntervalMs();
    this.timer = this.context.clock.schedule(intervalMs, this.runHeartbeatRound);
    this.heartbeatRoundsCount += 1;
    this.isHub = this.table.isHub(this.context.reachesStore());
    this.dropWorkOfSilentPeers();
    this.sendDueHeartbeats();
    if (this.heartbeatRoundsCount % constants.WORK_SUMMARY_HEARTBEAT_ROUNDS === 0) {
      this.work.sendSummary();
      this.crashes.sendDueSummaries();
    }
  };

  /** Marks peers as silent, removes their claims and waiting generations, and logs them. */
  private dropWorkOfSilentPeers(): void {
    for (const { vmName, lastHeartbeatAtMs } of this.table.markSilentPeers(this.isHub))
      this.dropWork(vmName, this.context.clock.nowMs() - lastHeartbeatAtMs);
  }

  private dropWork(vmName: string, silentMs: number): void {
    this.work.dropVm(vmName);
    const fields = { peer: vmName, silentMs: Math.round(silentMs) };
    this.context.log.record(Importance.StateChange, LogEvent.PeerDown, fields);
  }

  private sendDueHeartbeats(): void {
    const isFullRound = this.heartbeatRoundsCount % constants.SPARSE_HEARTBEAT_ROUNDS === 0;
    for (const address of this.table.listAddresses()) {
      const isDue = isFullRound || this.table.hasFullHeartbeatRate(address.vmName, this.isHub);
      if (isDue) this.sendHeartbeat(address);
    }
  }

  private readonly sendHeartbeat = (address: types.VmAddress): void => {
    const { self, clock, reachesStore, linkState } = this.context;
    const message = heartbeats.createHeartbeat(self, {
      clock,
      echo: this.table.createEcho(address.vmName),
      reachesStore: reachesStore(),
      linkState: linkState(),
      isHub: this.isHub,
      replicaOf: (topic) => this.replicaOf(topic),
      reports: serverReports.listServerReports(this.context),
    });
    this.context.socket.send(datagrams.encodeDatagram(message), address.host, address.port);
  };

  private broadcast(message: Buffer): void {
    for (const { host, port } of this.table.livePeers())
      this.context.socket.send(message, host, port);
  }

  private receive(bytes: Uint8Array): void {
    const message = datagrams.decodeDatagram(bytes);
    if (message === null) {
      const fields = { sizeBytes: bytes.length };
      this.context.log.record(Importance.Notable, LogEvent.PeerUnreadable, fields);
      return;
    }
    if (message.vmName === this.context.self.vmName) return;
    const fields = { peer: message.vmName, kind: message.kind };
    diagnostics.contain(this.context, diagnostics.ErrorOrigin.Datagram, fields, () =>
      HANDLERS[message.kind](this, message as never),
    );
  }

  /** Applies a message of a bundle; only work updates of other VMs are accepted. */
  private applyBundledMessage(bytes: Uint8Array): void {
    const message = datagrams.decodeDatagram(bytes);
    if (message === null || message.vmName === this.context.self.vmName) return;
    if (message.kind === DatagramKind.Claims) this.onClaims(message);
    if (message.kind === DatagramKind.Waiting) this.onWaiting(message);
  }

  /** Handles a heartbeat, which shows that a peer is live and reports the ages of its views. */
  onHeartbeat(message: datagrams.Heartbeat): void {
    const update = this.table.applyHeartbeat(message);
    if (update === null) return;
    const { peer, isNew, isRestarted } = update;
    if (isRestarted) this.work.dropVm(peer.vmName);
    if (isNew || isRestarted) this.crashes.sendSummary(peer);
    if (isNew) {
      const fields = { peer: peer.vmName, dataCentre: peer.dataCentre };
      this.context.log.record(Importance.StateChange, LogEvent.PeerUp, fields);
      this.sendHeartbeat(peer);
    }
    serverReports.applyServerReports(message, this.context);
    const { clock, self } = this.context;
    const echo = ownEchoes.readOwnEcho(message, self.startedAtWallMs, clock);
    for (const reported of topicStateCodec.decodeTopicStates(message))
      this.applyReportedReplica(reported, echo, peer);
  }

  /** Handles records that a peer has read from the store. */
  onRecords(message: datagrams.Records): void {
    const topic = types.TOPICS[message.topic];
    if (topic === undefined) return;
    const { epoch, endOffset, fromOffset } = message;
    const batch = {
      epoch,
      endOffset,
      records: message.records.map(([key, offset, value]): types.ViewRecord => {
        return { key, offset, value: value === null ? null : Buffer.from(value) };
      }),
    };
    // A peer's records do not renew the view's age; its heartbeats do, as their echo bounds the
    // transfer time.
    const source = topicReplicas.ViewSource.Peer;
    const confirmedAt = clockReadings.DISTANT_PAST;
    this.replicaOf(topic).applyRecords(fromOffset, batch, confirmedAt, source);
  }

  /** Handles a VM's update of its claims; ignored unless its current process sent it. */
  onClaims(message: datagrams.Claims): void {
    if (this.table.isCurrentProcess(message.vmName, message.startedAtWallMs))
      this.work.onClaims(message);
  }

  /** Handles a VM's update of its queue; ignored unless its current process sent it. */
  onWaiting(message: datagrams.Waiting): void {
    if (this.table.isCurrentProcess(message.vmName, message.startedAtWallMs))
      this.work.onWaiting(message);
  }

  /** Handles a bundle of work updates, and queues them for forwarding as its scope requires. */
  onBundle({ scope, messages }: datagrams.Bundle): void {
    const buffers = messages.map((bytes) => Buffer.from(bytes));
    this.aggregator.forwardBundle(scope, buffers);
    for (const bytes of buffers) this.applyBundledMessage(bytes);
  }

  /** Handles the leave message of a peer. */
  onLeave(message: { readonly vmName: string }): void {
    this.table.removePeer(message.vmName);
    this.dropWork(message.vmName, 0);
  }

  /** Renews the age of a replica by a peer's heartbeat, or reports that the replica lags. */
  private applyReportedReplica(
    { topic, state, ageMs }: topicStateCodec.ReportedReplica,
    echo: clockReadings.ClockReading | null,
    peer: types.Peer,
  ): void {
    const replica = this.replicaOf(topic);
    if (replica.isBehind(state)) {
      this.context.onReplicaBehind(topic, peer, state);
      return;
    }
    // The peer sent this after receiving the heartbeat that this VM sent at the echoed time, so
    // its view was confirmed no earlier than its age before that time.
    if (echo !== null) replica.confirm(state, clockReadings.subtractDuration(echo, ageMs));
  }

  private replicaOf(topic: types.Topic): topicReplicas.TopicReplica {
    const replica = this.context.replicas.get(topic);
    if (replica === undefined) throw new Error(`no replica of ${topic}`);
    return replica;
  }
}

type Handler = (mesh: PeerMesh, message: never) => void;

const HANDLERS: Readonly<Record<datagrams.DatagramKind, Handler>> = {
  [DatagramKind.Heartbeat]: (mesh, message) => mesh.onHeartbeat(message),
  [DatagramKind.Records]: (mesh, message) => mesh.onRecords(message),
  [DatagramKind.Claims]: (mesh, message) => mesh.onClaims(message),
  [DatagramKind.Waiting]: (mesh, message) => mesh.onWaiting(message),
  [DatagramKind.Bundle]: (mesh, message) => mesh.onBundle(message),
  [DatagramKind.Crashes]: (mesh, message) => mesh.crashes.receive(message),
  [DatagramKind.Leave]: (mesh, message) => mesh.onLeave(message),
};

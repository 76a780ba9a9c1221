import type * as clocks from "../../_lib/clock/index.js";
import * as diagnostics from "../../diagnostics/index.js";
import type * as fleet from "../../fleet/index.js";
import * as ageClocks from "../_lib/ageClock/index.js";
import * as datagrams from "../_lib/datagrams/index.js";
import * as peerTables from "../_lib/peerTable/index.js";
import * as recordParts from "../_lib/recordParts/index.js";
import * as workExchanges from "../_lib/workExchange/index.js";
import * as workRelays from "../_lib/workRelay/index.js";
import * as constants from "../constants.js";
import * as topicReplicas from "../topicReplica/index.js";
import * as types from "../types.js";

const { Importance, LogEvent } = diagnostics;
const { DatagramKind } = datagrams;

/** What the mesh works with. */
export interface MeshContext extends workExchanges.WorkContext {
  readonly clock: clocks.Clock;
  readonly socket: fleet.DatagramSocket;
  readonly self: types.MeshIdentity;
  readonly replicas: ReadonlyMap<types.Topic, topicReplicas.TopicReplica>;
  readonly log: diagnostics.DecisionLog;
  /** Whether this VM's own calls to the store are answered. */
  readonly reachesStore: () => boolean;
  /** Called when a peer knows more of a topic than this VM. */
  readonly onBehind: (topic: types.Topic, peer: types.Peer, peerEndOffset: number) => void;
}

/**
 * The VMs' word to each other, by datagrams: that they live, how fresh their view of the store is,
 * records that one of them has read, and their claims on engines.
 */
export class PeerMesh implements Disposable {
  /** Claims on engines and waiting generations, told to the peers. */
  readonly work: workExchanges.WorkExchange;
  private readonly table: peerTables.PeerTable;
  private readonly relay: workRelays.WorkRelay;
  private readonly subscription: Disposable;
  private timer: Disposable;
  private beatsCount = 0;
  /** Whether this VM beats for all, as of its last heartbeat. */
  private isAnchor = false;

  constructor(private readonly context: MeshContext) {
    this.table = new peerTables.PeerTable(context.clock, context.self);
    this.relay = new workRelays.WorkRelay({
      clock: context.clock,
      vmName: context.self.vmName,
      routes: () => this.table.workRoutes(),
      send: (message, { host, port }) => this.context.socket.send(message, host, port),
    });
    this.work = new workExchanges.WorkExchange(context, (message) => this.relay.tell(message));
    this.subscription = context.socket.onMessage((bytes) => this.receive(bytes));
    this.timer = context.clock.schedule(0, () => this.beat());
  }

  /** Peers that were heard from lately. */
  livePeers(): readonly types.Peer[] {
    return this.table.live();
  }

  /** VMs that are up, this one included. */
  get liveCount(): number {
    return this.table.live().length + 1;
  }

  /** Place of this VM among those that read the store for the others, from 0. */
  get readerRank(): number {
    return this.table.readerRank(this.context.reachesStore());
  }

  /** Whether no VM of a data centre is heard from any more: the way there is likely cut. */
  isSilent(dataCentre: string): boolean {
    return this.table.isSilent(dataCentre);
  }

  /** Learns of a VM that may not have been heard from yet. */
  introduce(address: types.VmAddress): void {
    if (this.table.introduce(address)) this.sendHeartbeat(address);
  }

  /** Passes on records that this VM has read; what is too large is fetched by those who lack it. */
  shareRecords(topic: types.Topic, fromOffset: number, batch: types.RecordBatch): void {
    if (batch.records.length === 0) return;
    const { vmName } = this.context.self;
    const messages = recordParts.encodeRecordParts(vmName, topic, fromOffset, batch);
    if (messages === null) this.sendHeartbeats();
    else for (const message of messages) this.broadcast(message);
  }

  /** Tells all peers that this VM leaves. */
  sayBye(): void {
    const { vmName } = this.context.self;
    this.broadcast(datagrams.encodeDatagram({ kind: DatagramKind.Bye, vmName }));
  }

  [Symbol.dispose](): void {
    this.subscription[Symbol.dispose]();
    this.timer[Symbol.dispose]();
    this.relay[Symbol.dispose]();
  }

  private beat(): void {
    this.beatsCount += 1;
    this.isAnchor = this.table.isAnchor(this.context.reachesStore());
    this.dropSilentPeers();
    this.sendBeat();
    if (this.beatsCount % constants.CLAIM_SUMMARY_HEARTBEATS === 0) this.work.sendSummary();
    this.timer = this.context.clock.schedule(this.table.heartbeatIntervalMs(), () => this.beat());
  }

  private dropSilentPeers(): void {
    for (const peer of this.table.takeSilent(this.isAnchor)) {
      this.work.dropVm(peer.vmName);
      this.context.log.record(Importance.Belief, LogEvent.PeerDown, {
        peer: peer.vmName,
        silentMs: Math.round(this.context.clock.nowMs() - peer.heardAtMs),
      });
    }
  }

  private sendBeat(): void {
    const isForAll = this.beatsCount % constants.SPARSE_BEATS_COUNT === 0;
    for (const address of this.table.addresses()) {
      const isDue = isForAll || this.table.isBeatenOften(address.vmName, this.isAnchor);
      if (isDue) this.sendHeartbeat(address);
    }
  }

  private sendHeartbeats(): void {
    for (const address of this.table.addresses()) this.sendHeartbeat(address);
  }

  private sendHeartbeat(address: types.VmAddress): void {
    const { self, clock, replicas, reachesStore } = this.context;
    const message: datagrams.Heartbeat = {
      kind: DatagramKind.Heartbeat,
      vmName: self.vmName,
      host: self.host,
      port: self.port,
      dataCentre: self.dataCentre,
      coresCount: self.coresCount,
      startedAtWallMs: self.startedAtWallMs,
      sentAt: ageClocks.nowOf(clock),
      echo: this.table.lastStampOf(address.vmName),
      reachesStore: reachesStore(),
      isAnchor: this.isAnchor,
      topics: types.TOPICS.map((topic) => {
        const replica = replicas.get(topic);
        return [replica?.endOffset ?? -1, Math.min(replica?.ageMs ?? Infinity, 1e9)];
      }),
    };
    this.context.socket.send(datagrams.encodeDatagram(message), address.host, address.port);
  }

  private broadcast(message: Buffer): void {
    for (const { host, port } of this.table.live()) this.context.socket.send(message, host, port);
  }

  private receive(bytes: Uint8Array): void {
    const message = datagrams.decodeDatagram(bytes);
    if (message === null) {
      const fields = { sizeBytes: bytes.length };
      this.context.log.record(Importance.Notable, LogEvent.PeerUnreadable, fields);
      return;
    }
    if (message.vmName === this.context.self.vmName) return;
    RECEIVERS[message.kind](this, message as never);
  }

  /** What a bundle holds is about work; anything else in it is not passed on by any VM. */
  private receiveWork(bytes: Uint8Array): void {
    const message = datagrams.decodeDatagram(bytes);
    if (message === null || message.vmName === this.context.self.vmName) return;
    if (message.kind === DatagramKind.Claims) this.onClaims(message);
    if (message.kind === DatagramKind.Waiting) this.onWaiting(message);
  }

  /** A peer lives, and says how fresh its view is. */
  onHeartbeat(message: datagrams.Heartbeat): void {
    const { peer, isNew, isRestarted } = this.table.note(message);
    if (isRestarted) this.work.dropVm(peer.vmName);
    if (isNew) {
      this.context.log.record(Importance.Belief, LogEvent.PeerUp, {
        peer: peer.vmName,
        dataCentre: peer.dataCentre,
      });
      this.sendHeartbeat(peer);
    }
    message.topics.forEach(([endOffset, ageMs], index) => {
      this.noteTopic(index, endOffset, ageMs, message.echo, peer);
    });
  }

  /** A peer passes on records that it has read. */
  onRecords(message: datagrams.Records): void {
    const topic = types.TOPICS[message.topic];
    const replica = topic && this.context.replicas.get(topic);
    if (replica === undefined) return;
    const batch = {
      endOffset: message.endOffset,
      records: message.records.map(([key, offset, value]): types.ViewRecord => {
        return { key, offset, value: value === null ? null : Buffer.from(value) };
      }),
    };
    // How fresh they are is told by heartbeats, whose age this VM can judge.
    const source = topicReplicas.ViewSource.Peer;
    replica.applyRecords(message.fromOffset, batch, ageClocks.NEVER, source);
  }

  /** A peer tells of its claims. */
  onClaims(message: datagrams.Claims): void {
    if (this.table.isCurrent(message.vmName, message.startedAtWallMs)) this.work.onClaims(message);
  }

  /** A peer tells of what waits there. */
  onWaiting(message: datagrams.Waiting): void {
    if (this.table.isCurrent(message.vmName, message.startedAtWallMs)) this.work.onWaiting(message);
  }

  /** A peer passes on what others tell of their work. */
  onBundle({ scope, messages }: datagrams.Bundle): void {
    const buffers = messages.map((bytes) => Buffer.from(bytes));
    this.relay.takeBundle(scope, buffers);
    for (const bytes of buffers) this.receiveWork(bytes);
  }

  /** A peer leaves. */
  onBye(message: { readonly vmName: string }): void {
    this.table.forget(message.vmName);
    this.work.dropVm(message.vmName);
    this.context.log.record(Importance.Belief, LogEvent.PeerDown, {
      peer: message.vmName,
      silentMs: 0,
    });
  }

  private noteTopic(
    index: number,
    endOffset: number,
    ageMs: number,
    echo: ageClocks.Moment | null,
    peer: types.Peer,
  ): void {
    const topic = types.TOPICS[index];
    const replica = topic && this.context.replicas.get(topic);
    if (topic === undefined || replica === undefined || endOffset < 0) return;
    if (endOffset > replica.endOffset) {
      this.context.onBehind(topic, peer, endOffset);
      return;
    }
    // The peer spoke after it had heard what this VM sent at the echoed time.
    if (echo !== null) replica.confirm(endOffset, ageClocks.before(echo, ageMs));
  }
}

type Receiver = (mesh: PeerMesh, message: never) => void;

const RECEIVERS: Readonly<Record<datagrams.DatagramKind, Receiver>> = {
  [DatagramKind.Heartbeat]: (mesh, message) => mesh.onHeartbeat(message),
  [DatagramKind.Records]: (mesh, message) => mesh.onRecords(message),
  [DatagramKind.Claims]: (mesh, message) => mesh.onClaims(message),
  [DatagramKind.Waiting]: (mesh, message) => mesh.onWaiting(message),
  [DatagramKind.Bundle]: (mesh, message) => mesh.onBundle(message),
  [DatagramKind.Bye]: (mesh, message) => mesh.onBye(message),
};

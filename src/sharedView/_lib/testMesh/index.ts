import type * as virtualClocks from "../../../_lib/virtualClock/index.js";
import type * as crashes from "../../../crashes/index.js";
import * as diagnostics from "../../../diagnostics/index.js";
import * as dispatch from "../../../dispatch/index.js";
import type * as fleet from "../../../fleet/index.js";
import * as serverLinks from "../../../serverLinks/index.js";
import * as sharedView from "../../index.js";
import * as clockReadings from "../clockReading/index.js";

const { Topic, ViewSource } = sharedView;

/** An in-memory datagram network on the virtual clock; hosts can be partitioned from it. */
export class Network {
  private readonly listeners = new Map<string, (bytes: Uint8Array) => void>();
  private readonly partitionedHosts = new Set<string>();

  /** Number of datagrams sent, including lost ones. */
  sentCount = 0;

  constructor(private readonly clock: virtualClocks.VirtualClock) {}

  /** Returns a socket by which a host sends and receives datagrams. */
  openSocket(host: string): fleet.DatagramSocket {
    return {
      send: (bytes, toHost) => {
        this.sentCount += 1;
        if (this.partitionedHosts.has(host) || this.partitionedHosts.has(toHost)) return;
        this.clock.schedule(2, () => this.listeners.get(toHost)?.(bytes));
      },
      onMessage: (listener) => {
        this.listeners.set(host, (bytes) => listener(bytes, host, 1));
        return { [Symbol.dispose]: () => void this.listeners.delete(host) };
      },
      [Symbol.asyncDispose]: () => Promise.resolve(),
    };
  }

  /** Partitions a host from all others. */
  isolate(host: string): void {
    this.partitionedHosts.add(host);
  }

  /** Ends a host's partition. */
  heal(host: string): void {
    this.partitionedHosts.delete(host);
  }
}

/** A VM's mesh together with the replicas, claims and queue that it updates. */
export class Vm {
  readonly replicas: ReadonlyMap<sharedView.Topic, sharedView.TopicReplica>;
  readonly claims: dispatch.ClaimTable;
  readonly queue: dispatch.FleetQueue;
  /** Generations that wait at this VM, which its summaries contain. */
  readonly waiting: dispatch.FleetWaiting[] = [];
  /** What this VM knows of work that ends servers, which its summaries contain. */
  readonly suspects: crashes.SuspectReport[] = [];
  /** What its peers have told it. */
  readonly receivedSuspects: crashes.SuspectReport[] = [];
  /** What this VM has observed of engines' speeds, which its heartbeats contain. */
  readonly speeds: dispatch.SpeedStatement[] = [];
  /** What its peers have observed, with their names. */
  readonly receivedSpeeds: (readonly [string, dispatch.SpeedStatement])[] = [];
  readonly mesh: sharedView.PeerMesh;
  /** Topics of which a peer reported a higher end offset, with the peer's name. */
  readonly behindReports: string[] = [];
  reachesStore = true;

  constructor(
    readonly name: string,
    network: Network,
    private readonly clock: virtualClocks.VirtualClock,
    options: {
      readonly coresCount?: number;
      readonly dataCentre?: string;
      readonly startedAtWallMs?: number;
    } = {},
  ) {
    const { coresCount = 1, dataCentre = "dc-a", startedAtWallMs = 1 } = options;
    const listener = { onRecords: () => undefined, onListing: () => undefined };
    this.replicas = new Map(
      sharedView.TOPICS.map((topic) => [topic, new sharedView.TopicReplica(clock, listener)]),
    );
    this.claims = new dispatch.ClaimTable(clock);
    this.queue = new dispatch.FleetQueue(clock);
    this.mesh = new sharedView.PeerMesh({
      clock,
      meters: new diagnostics.Meters(),
      socket: network.openSocket(name),
      self: {
        vmName: name,
        host: name,
        port: 1,
        dataCentre,
        coresCount,
        startedAtWallMs,
      },
      replicas: this.replicas,
      claims: this.claims,
      fleetQueue: this.queue,
      listOwnWaiting: () => this.waiting,
      log: diagnostics.NOOP_DECISION_LOG,
      reachesStore: () => this.reachesStore,
      linkState: () => serverLinks.LinkState.Reaches,
      onReplicaBehind: (topic, peer) => this.behindReports.push(`${topic} at ${peer.vmName}`),
      onWorkChange: () => undefined,
      listOverloads: () => [],
      onOverload: () => undefined,
      listLoads: () => [],
      onLoad: () => undefined,
      listRateStatements: () => [],
      onRateStatement: () => undefined,
      listEngineSpeeds: () => this.speeds,
      onEngineSpeed: (vmName, statement) => void this.receivedSpeeds.push([vmName, statement]),
      listSuspects: () => this.suspects,
      onSuspects: (reports) => this.receivedSuspects.push(...reports),
    });
  }

  get configuration(): sharedView.TopicReplica {
    const replica = this.replicas.get(Topic.Configuration);
    if (replica === undefined)
      throw new Error(`VM ${this.name} has no replica of the configuration`);
    return replica;
  }

  /** Applies an empty listing from the store, which confirms the configuration's end offset. */
  confirm(endOffset: number): void {
    const now = clockReadings.readClocks(this.clock);
    this.configuration.applyListing({ records: [], endOffset, epoch: 0 }, now, ViewSource.Store);
  }
}

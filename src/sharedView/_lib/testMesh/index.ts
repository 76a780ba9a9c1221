import type * as virtualClocks from "../../../_lib/virtualClock/index.js";
import * as diagnostics from "../../../diagnostics/index.js";
import * as dispatch from "../../../dispatch/index.js";
import type * as fleet from "../../../fleet/index.js";
import * as sharedView from "../../index.js";
import * as ageClocks from "../ageClock/index.js";

const { Topic, ViewSource } = sharedView;

/** Datagrams between sockets in memory, on the virtual clock; links can be cut. */
export class Network {
  private readonly listeners = new Map<string, (bytes: Uint8Array) => void>();
  private readonly cut = new Set<string>();

  /** Datagrams that were sent, lost ones included. */
  sentCount = 0;

  constructor(private readonly clock: virtualClocks.VirtualClock) {}

  socket(host: string): fleet.DatagramSocket {
    return {
      send: (bytes, toHost) => {
        this.sentCount += 1;
        if (this.cut.has(host) || this.cut.has(toHost)) return;
        this.clock.schedule(2, () => this.listeners.get(toHost)?.(bytes));
      },
      onMessage: (listener) => {
        this.listeners.set(host, (bytes) => listener(bytes, host, 1));
        return { [Symbol.dispose]: () => void this.listeners.delete(host) };
      },
      [Symbol.asyncDispose]: () => Promise.resolve(),
    };
  }

  isolate(host: string): void {
    this.cut.add(host);
  }

  heal(host: string): void {
    this.cut.delete(host);
  }
}

/** A VM's mesh with what it knows. */
export class Vm {
  readonly replicas: ReadonlyMap<sharedView.Topic, sharedView.TopicReplica>;
  readonly claims: dispatch.ClaimTable;
  readonly board: dispatch.WaitingBoard;
  readonly waiting: dispatch.FleetWaiting[] = [];
  readonly mesh: sharedView.PeerMesh;
  readonly behind: string[] = [];
  reachesStore = true;

  constructor(
    readonly name: string,
    network: Network,
    private readonly clock: virtualClocks.VirtualClock,
    options: { readonly coresCount?: number; readonly dataCentre?: string } = {},
  ) {
    const { coresCount = 1, dataCentre = "dc-a" } = options;
    const listener = { onRecords: () => undefined, onListing: () => undefined };
    this.replicas = new Map(
      sharedView.TOPICS.map((topic) => [topic, new sharedView.TopicReplica(clock, listener)]),
    );
    this.claims = new dispatch.ClaimTable(clock);
    this.board = new dispatch.WaitingBoard(clock);
    this.mesh = new sharedView.PeerMesh({
      clock,
      socket: network.socket(name),
      self: {
        vmName: name,
        host: name,
        port: 1,
        dataCentre,
        coresCount,
        startedAtWallMs: 1,
      },
      replicas: this.replicas,
      claims: this.claims,
      board: this.board,
      ownWaiting: () => this.waiting,
      log: diagnostics.SILENT_DECISION_LOG,
      reachesStore: () => this.reachesStore,
      onBehind: (topic, peer) => this.behind.push(`${topic} at ${peer.vmName}`),
      onWorkChange: () => undefined,
    });
  }

  get configuration(): sharedView.TopicReplica {
    const replica = this.replicas.get(Topic.Configuration);
    if (replica === undefined) throw new Error("no replica of the configuration");
    return replica;
  }

  /** The store confirms to this VM that nothing follows an offset. */
  confirm(endOffset: number): void {
    const now = ageClocks.nowOf(this.clock);
    this.configuration.applyListing({ records: [], endOffset }, now, ViewSource.Store);
  }
}

import * as neverthrow from "neverthrow";

import * as datagramHubs from "../../../../standins/datagrams/hub/index.js";
import * as disposableStore from "../../../_lib/disposableStore/index.js";
import * as randoms from "../../../_lib/random/index.js";
import type * as virtualClocks from "../../../_lib/virtualClock/index.js";
import * as diagnostics from "../../../diagnostics/index.js";
import * as dispatch from "../../../dispatch/index.js";
import type * as routing from "../../../routing/index.js";
import * as serverLinks from "../../../serverLinks/index.js";
import * as servers from "../../../servers/index.js";
import * as sharedView from "../../../sharedView/index.js";
import * as constants from "../../constants.js";
import * as currentViews from "../../currentView/index.js";
import type * as types from "../../types.js";
import type * as virtualStores from "../virtualStore/index.js";

const { Topic } = sharedView;

/** Port of every VM; their host names differ. */
const PORT = 1;

/** Time that a peer takes to send a whole topic, besides the transfer over its link. */
const FETCH_MS = 5;

/** Where a VM runs, and how large it is. */
export interface VmPlacement {
  readonly dataCentre: string;
  readonly coresCount: number;
  /** Bandwidth of the link of the VM. */
  readonly linkBytesPerMs: number;
}

const DEFAULT_PLACEMENT: VmPlacement = {
  dataCentre: "dc-a",
  coresCount: 1,
  linkBytesPerMs: Infinity,
};

const CONFIGURATION_KEY = "config";
const EVACUATION_KEY_PREFIX = "evacuate/";

const EMPTY_CONFIGURATION: Omit<routing.Configuration, "version"> = {
  routes: [],
  services: [{ name: "s", engine: null, coldStart: null }],
  accounts: null,
  limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
};

/**
 * Decodes a configuration, whose value is its version, and a server's entry, whose value is its sequence
 * and its data centre, joined by `@`.
 */
const DECODER: types.ViewDecoder = {
  decodeConfiguration: ({ key, value }) =>
    key === CONFIGURATION_KEY
      ? neverthrow.ok({ ...EMPTY_CONFIGURATION, version: Number(value?.toString()) })
      : null,
  decodeEvacuation: ({ key }) =>
    key.startsWith(EVACUATION_KEY_PREFIX)
      ? neverthrow.ok(key.slice(EVACUATION_KEY_PREFIX.length))
      : null,
  decodeServer: ({ key, value }) =>
    neverthrow.ok({
      id: key,
      serviceName: "s",
      host: key,
      port: PORT,
      dataCentre: value?.toString().split("@")[1] ?? DEFAULT_PLACEMENT.dataCentre,
      slotsCount: 1,
      state: servers.ServerState.Ready,
      coldRemainingMs: 0,
      bornAtWallMs: 1,
      sequence: Number(value?.toString().split("@")[0]),
    }),
};

/** The view of one process of a VM, with the readers and the mesh that keep it up to date. */
export class VirtualVm implements AsyncDisposable {
  readonly directory: servers.ServerDirectory;
  readonly view: currentViews.CurrentView;
  private readonly resources = new disposableStore.DisposableStore();
  private readonly mesh: sharedView.PeerMesh;
  private readonly readers: readonly sharedView.TopicReader[];
  private sweepTimer: Disposable;

  constructor(
    readonly name: string,
    private readonly fleet: VirtualFleet,
    store: sharedView.ViewStore,
  ) {
    const { clock } = fleet;
    const log = diagnostics.NOOP_DECISION_LOG;
    const meters = new diagnostics.Meters();
    this.directory = new servers.ServerDirectory(clock);
    const ports = { clock, decoder: DECODER, log, meters };
    this.view = new currentViews.CurrentView(ports, this.directory, {
      onConfiguration: () => undefined,
      onStoreRestored: () => undefined,
    });
    const { replicas } = this.view;
    const fetch: typeof sharedView.fetchReplica = (topic, peer) =>
      fleet.fetchReplica(topic, peer.vmName, name);
    const client = new sharedView.ReplicaClient({ clock, log, replicas, fetch });
    this.mesh = new sharedView.PeerMesh({
      clock,
      log,
      meters,
      socket: this.resources.add(fleet.hub.open(name, PORT)),
      self: {
        vmName: name,
        host: name,
        port: PORT,
        dataCentre: fleet.placementOf(name).dataCentre,
        coresCount: fleet.placementOf(name).coresCount,
        startedAtWallMs: clock.wallTimeMs(),
      },
      replicas,
      claims: new dispatch.ClaimTable(clock),
      fleetQueue: new dispatch.FleetQueue(clock),
      listOwnWaiting: () => [],
      reachesStore: () => this.readers.every(({ reachesStore }) => reachesStore),
      linkState: () => fleet.linkStateOf(name),
      onReplicaBehind: (topic, peer, state) => void client.catchUp(topic, peer, state),
      onWorkChange: () => undefined,
      listOverloads: () => [],
      onOverload: () => undefined,
      listLoads: () => [],
      onLoad: () => undefined,
      listRateStatements: () => [],
      onRateStatement: () => undefined,
      listEngineSpeeds: () => [],
      onEngineSpeed: () => undefined,
      listSuspects: () => [],
      onSuspects: () => undefined,
    });
    this.resources.add(this.mesh);
    this.sweepTimer = this.scheduleSweep();
    const options = [sharedView.CONFIGURATION_READER, sharedView.SERVERS_READER];
    this.readers = options.map((option) => this.createReader(option, store));
    for (const reader of this.readers) void this.resources.add(reader).run();
    this.resources.defer(() => this.sweepTimer[Symbol.dispose]());
  }

  /** Version in force; 0 before the first one. */
  get version(): number {
    return this.view.routingTable?.configuration.version ?? 0;
  }

  /** The VMs whose heartbeats this VM receives. */
  listPeers(): readonly sharedView.Peer[] {
    return this.mesh.livePeers();
  }

  /** Adds the address of another VM. */
  addPeer(vmName: string): void {
    this.mesh.addPeerAddress({ vmName, host: vmName, port: PORT });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.resources[Symbol.asyncDispose]();
  }

  private scheduleSweep(): Disposable {
    return this.fleet.clock.schedule(constants.SWEEP_INTERVAL_MS, () => {
      this.directory.sweep();
      this.sweepTimer = this.scheduleSweep();
    });
  }

  private createReader(
    options: sharedView.ReaderOptions,
    store: sharedView.ViewStore,
  ): sharedView.TopicReader {
    return new sharedView.TopicReader(
      {
        clock: this.fleet.clock,
        store,
        log: diagnostics.NOOP_DECISION_LOG,
        meters: new diagnostics.Meters(),
        replica: this.view.replicaOf(options.topic),
        rank: () => this.mesh.readerRank,
        isPreferred: () => this.mesh.isPreferredReader,
        onRead: (from, batch) => this.mesh.broadcastRecords(options.topic, from, batch),
        onListed: () => this.mesh.announceState(),
        onStoreRegained: () => this.directory.recordStoreRecovery(),
      },
      options,
    );
  }
}

/** VMs on the virtual clock that read a modelled store and tell each other what they read. */
export class VirtualFleet {
  readonly hub: datagramHubs.DatagramHub;
  readonly vms = new Map<string, VirtualVm>();
  /** VMs that do not reach the store. */
  readonly storeless = new Set<string>();
  /** VMs that reach neither the store nor other VMs. */
  readonly isolated = new Set<string>();
  /** VMs that reach the store, but no other VM. */
  readonly peerless = new Set<string>();
  /** Data centres whose VMs reach the store and each other, but no other data centre. */
  readonly partitionedDataCentres = new Set<string>();
  /** What a VM reports of its links to servers. */
  linkStateOf: (vmName: string) => serverLinks.LinkState = () => serverLinks.LinkState.Reaches;
  /** When the link of a VM has sent all topics that were fetched from it. */
  private readonly linkFreeAtMs = new Map<string, number>();

  constructor(
    readonly clock: virtualClocks.VirtualClock,
    readonly store: virtualStores.VirtualStore,
    readonly placementOf: (name: string) => VmPlacement = () => DEFAULT_PLACEMENT,
  ) {
    this.hub = new datagramHubs.DatagramHub(clock, randoms.createRandom(1));
    this.hub.partitionWhere((from, to) => this.isCut(hostOf(from), hostOf(to)));
  }

  /** Starts a VM, or replaces its process by a new one. */
  start(name: string): void {
    this.stop(name);
    const store = this.store.connect(() => !this.storeless.has(name) && !this.isolated.has(name));
    const vm = new VirtualVm(name, this, store);
    for (const peer of this.vms.keys()) vm.addPeer(peer);
    this.vms.set(name, vm);
  }

  /** Stops a VM's process, if it runs. */
  stop(name: string): void {
    void this.vms.get(name)?.[Symbol.asyncDispose]();
    this.vms.delete(name);
  }

  /** Sends a VM's replica of a topic to another one; a request over a cut link hangs until its timeout. */
  async fetchReplica(
    topic: sharedView.Topic,
    fromName: string,
    toName: string,
  ): ReturnType<typeof sharedView.fetchReplica> {
    await this.clock.sleep(FETCH_MS);
    const replica = this.vms.get(fromName)?.view.replicaOf(topic);
    if (replica === undefined || this.isCut(fromName, toName)) {
      await this.clock.sleep(sharedView.REPLICA_FETCH_TIMEOUT_MS - FETCH_MS);
      return neverthrow.err("timeout");
    }
    if (!replica.isKnown) return neverthrow.err("status 404");
    const batch = replica.snapshot();
    const ageMs = replica.ageMs;
    const transferMs = this.reserveLink(fromName, batch);
    await this.clock.sleep(Math.min(transferMs, sharedView.REPLICA_FETCH_TIMEOUT_MS));
    if (transferMs > sharedView.REPLICA_FETCH_TIMEOUT_MS) return neverthrow.err("timeout");
    return neverthrow.ok({ batch, ageMs });
  }

  /** Publishes a version of the configuration, padded to a size. */
  publish(version: number, sizeBytes = 0): void {
    const value = String(version).padStart(sizeBytes, "0");
    this.store.append(Topic.Configuration, CONFIGURATION_KEY, value);
  }

  /** Time until a VM's link has sent a topic after all that it sends already. */
  private reserveLink(name: string, { records }: sharedView.ReplicaSnapshot): number {
    const sizeBytes = records.reduce((sum, { value }) => sum + (value?.length ?? 0), 0);
    const nowMs = this.clock.nowMs();
    const startsAtMs = Math.max(nowMs, this.linkFreeAtMs.get(name) ?? 0);
    const endsAtMs = startsAtMs + sizeBytes / this.placementOf(name).linkBytesPerMs;
    this.linkFreeAtMs.set(name, endsAtMs);
    return endsAtMs - nowMs;
  }

  private isCut(from: string, to: string): boolean {
    if ([from, to].some((name) => this.isolated.has(name) || this.peerless.has(name))) return true;
    const [left, right] = [from, to].map((name) => this.placementOf(name).dataCentre);
    if (left === right) return false;
    return [left, right].some((name) => this.partitionedDataCentres.has(name ?? ""));
  }
}

/** The host of an endpoint, given as `host:port`. */
function hostOf(endpoint: string): string {
  return endpoint.slice(0, endpoint.lastIndexOf(":"));
}

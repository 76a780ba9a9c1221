import type * as clocks from "../../../_lib/clock/index.js";
import * as fleet from "../../../fleet/index.js";
import type * as servers from "../../../servers/index.js";
import * as constants from "../../constants.js";
import type * as types from "../../types.js";
import type * as clockReadings from "../clockReading/index.js";
import * as rankReaders from "../rankReaders/index.js";
import * as datagrams from "../datagrams/index.js";
import type * as workAggregators from "../workAggregator/index.js";

type Reader = rankReaders.Reader;

interface PeerState {
  readonly address: types.VmAddress;
  /** Null until a heartbeat is received from the peer. */
  peer: types.Peer | null;
  addedAtMs: number;
  /** When the registry in the store last listed the VM. */
  listedAtMs: number;
  isSilent: boolean;
  /** The peer's clock reading in its last heartbeat. */
  lastClockReading: clockReadings.ClockReading | null;
}

/** How a heartbeat changed what is known of its sender. */
export interface PeerUpdate {
  readonly peer: types.Peer;
  /** Whether the peer was unknown or silent before. */
  readonly isNew: boolean;
  /** Whether another process of the VM sent the peer's previous heartbeat. */
  readonly isRestarted: boolean;
}

/** The known VMs of the fleet, and the last heartbeat of each. */
export class PeerTable {
  private readonly states = new Map<string, PeerState>();

  constructor(
    private readonly clock: clocks.Clock,
    private readonly self: types.MeshIdentity,
  ) {}

  /** Interval between heartbeats; it grows with the fleet, which bounds each VM's sending rate. */
  heartbeatIntervalMs(): number {
    const scaledMs = constants.HEARTBEAT_INTERVAL_PER_PEER_MS * this.states.size;
    return Math.max(constants.MIN_HEARTBEAT_INTERVAL_MS, scaledMs);
  }

  /**
   * Adds a VM, or replaces the address of one that is not live.
   *
   * @returns whether the address was added
   */
  addPeerAddress(address: types.VmAddress): boolean {
    if (address.vmName === this.self.vmName) return false;
    const known = this.states.get(address.vmName);
    const isSameAddress =
      known?.address.host === address.host && known.address.port === address.port;
    if (known !== undefined) known.listedAtMs = this.clock.nowMs();
    if (isSameAddress || (known === undefined && this.isFull)) return false;
    const hasSentHeartbeat = known?.peer !== undefined && known.peer !== null;
    if (hasSentHeartbeat && !known.isSilent) return false;
    this.states.set(address.vmName, {
      address,
      peer: null,
      addedAtMs: this.clock.nowMs(),
      listedAtMs: this.clock.nowMs(),
      isSilent: false,
      lastClockReading: null,
    });
    return true;
  }

  /** Records a heartbeat as its sender's last one; returns null if there is no room for a further VM. */
  applyHeartbeat(message: datagrams.Heartbeat): PeerUpdate | null {
    const known = this.states.get(message.vmName);
    if (known === undefined && this.isFull) return null;
    const { vmName, host, port } = message;
    const peer: types.Peer = {
      vmName,
      host,
      port,
      dataCentre: message.dataCentre,
      coresCount: message.coresCount,
      startedAtWallMs: message.startedAtWallMs,
      lastHeartbeatAtMs: this.clock.nowMs(),
      reachesStore: message.reachesStore,
      linkState: datagrams.linkStateOf(message),
      isHub: message.isAnchor,
    };
    const former = known?.peer ?? null;
    this.states.set(vmName, {
      address: { vmName, host, port },
      peer,
      addedAtMs: known?.addedAtMs ?? peer.lastHeartbeatAtMs,
      listedAtMs: known?.listedAtMs ?? -Infinity,
      isSilent: false,
      lastClockReading: message.sentAt,
    });
    return {
      peer,
      isNew: former === null || known?.isSilent === true,
      isRestarted: former !== null && former.startedAtWallMs !== peer.startedAtWallMs,
    };
  }

  private get isFull(): boolean {
    return this.states.size >= constants.MAX_KNOWN_VMS_COUNT;
  }

  /** Peers whose heartbeats are not overdue. */
  livePeers(): readonly types.Peer[] {
    const peers: types.Peer[] = [];
    for (const { peer, isSilent } of this.states.values()) {
      if (peer !== null && !isSilent) peers.push(peer);
    }
    return peers;
  }

  /**
   * Whether all VMs of a data centre that once sent heartbeats are silent now. If any of them are
   * hubs, only these count.
   */
  isDataCentreSilent(dataCentre: string): boolean {
    const peers = [...this.states.values()].filter(({ peer }) => peer?.dataCentre === dataCentre);
    const hubs = peers.filter(({ peer }) => peer?.isHub);
    const relevantPeers = hubs.length > 0 ? hubs : peers;
    return relevantPeers.length > 0 && relevantPeers.every(({ isSilent }) => isSilent);
  }

  /** Whether the fleet is large enough for aggregators and reduced heartbeats. */
  get isHierarchical(): boolean {
    return this.states.size >= constants.HIERARCHICAL_FLEET_VM_COUNT;
  }

  /** Whether this VM is a hub: one of the largest of its data centre, or a reader of low rank. */
  isHub(reachesStore: boolean): boolean {
    const { dataCentre } = this.self;
    const isLarge = this.listLiveVmsBySize(dataCentre)
      .slice(0, constants.HUBS_PER_DATA_CENTRE_COUNT)
      .some(({ vmName }) => vmName === this.self.vmName);
    return isLarge || this.readerRank(reachesStore) < constants.HUB_READERS_COUNT;
  }

  /** Whether a VM is sent a heartbeat in every round, not only in one of several. */
  hasFullHeartbeatRate(vmName: string, isSelfHub: boolean): boolean {
    if (!this.isHierarchical || isSelfHub) return true;
    return this.states.get(vmName)?.peer?.isHub === true;
  }

  /** Selects the VMs to which work updates are sent. */
  selectWorkRoutes(): workAggregators.WorkRoutes {
    const { dataCentre, vmName } = this.self;
    const livePeers = this.livePeers();
    const aggregator = this.listLiveVmsBySize(dataCentre)[0];
    const otherDataCentres = new Set(livePeers.map((peer) => peer.dataCentre));
    otherDataCentres.delete(dataCentre);
    return {
      isHierarchical: this.isHierarchical,
      aggregator: aggregator === undefined || aggregator.vmName === vmName ? null : aggregator,
      dataCentrePeers: livePeers.filter((peer) => peer.dataCentre === dataCentre),
      remoteAggregators: [...otherDataCentres].flatMap((other) =>
        this.listLiveVmsBySize(other).slice(0, 1),
      ),
      livePeers,
    };
  }

  /** Live VMs of a data centre, including this one, by descending number of cores. */
  private listLiveVmsBySize(dataCentre: string): readonly types.MeshIdentity[] {
    const vms: types.MeshIdentity[] = this.livePeers().filter(
      (peer) => peer.dataCentre === dataCentre,
    );
    if (this.self.dataCentre === dataCentre) vms.push(this.self);
    return vms.sort(
      (left, right) => right.coresCount - left.coresCount || (left.vmName < right.vmName ? -1 : 1),
    );
  }

  /**
   * Marks the peers whose heartbeats have become overdue, and removes those from which none was
   * received for the retention time, unless the store has listed them since.
   *
   * @returns the newly marked peers
   */
  markSilentPeers(isSelfHub: boolean): readonly types.Peer[] {
    const nowMs = this.clock.nowMs();
    const fullRateTimeoutMs = constants.MAX_MISSED_HEARTBEATS_COUNT * this.heartbeatIntervalMs();
    const silent: types.Peer[] = [];
    for (const [vmName, state] of this.states) {
      const lastAtMs = state.peer?.lastHeartbeatAtMs ?? state.addedAtMs;
      const hasFullRate = this.hasFullHeartbeatRate(vmName, isSelfHub);
      const timeoutMs = hasFullRate
        ? fullRateTimeoutMs
        : fullRateTimeoutMs * constants.SPARSE_HEARTBEAT_ROUNDS;
      const knownAtMs = Math.max(lastAtMs, state.listedAtMs);
      if (nowMs - knownAtMs > constants.PEER_RETENTION_MS) this.states.delete(vmName);
      if (state.peer === null || state.isSilent || nowMs - lastAtMs <= timeoutMs) continue;
      state.isSilent = true;
      silent.push(state.peer);
    }
    return silent;
  }

  /** Addresses that receive heartbeats: those of all known VMs, including silent ones. */
  listAddresses(): readonly types.VmAddress[] {
    return [...this.states.values()].map(({ address }) => address);
  }

  /** The clock reading in a peer's last heartbeat and the start of its process, to be echoed to it. */
  createEcho(vmName: string): Pick<datagrams.Heartbeat, "echo" | "echoStartedAtWallMs"> {
    const state = this.states.get(vmName);
    return {
      echo: state?.lastClockReading ?? null,
      echoStartedAtWallMs: state?.peer?.startedAtWallMs ?? null,
    };
  }

  /** Whether a message comes from the process that sent the VM's last heartbeat. */
  isCurrentProcess(vmName: string, startedAtWallMs: number): boolean {
    const peer = this.states.get(vmName)?.peer;
    return peer?.startedAtWallMs === startedAtWallMs;
  }

  /** Removes a VM, so that it receives no more heartbeats. */
  removePeer(vmName: string): void {
    this.states.delete(vmName);
  }

  /**
   * Place of this VM among all live VMs, in an order that depends on the key.
   *
   * @param amongAllKnown - counts silent VMs and those that are only listed as well
   */
  rankFor(key: string, amongAllKnown = false): servers.VmRank {
    const peers = amongAllKnown
      ? [...this.states.values()].map(({ address }) => address)
      : this.livePeers();
    const ranked = this.rankNames(key, peers);
    return { rank: ranked.indexOf(this.self.vmName), vmsCount: ranked.length };
  }

  /** Names of all known VMs, silent ones and those that are only listed included, in the same order. */
  orderVms(key: string): readonly string[] {
    return this.rankNames(
      key,
      [...this.states.values()].map(({ address }) => address),
    );
  }

  private rankNames(key: string, peers: readonly { readonly vmName: string }[]): readonly string[] {
    const names = [this.self, ...peers].map(({ vmName }) => ({ name: vmName }));
    return fleet.rankByRendezvous(key, names).map(({ name }) => name);
  }

  /** Whether this VM would read the store for the others if all VMs reached it. */
  get isPreferredReader(): boolean {
    const readers = [this.self, ...this.livePeers()].map((vm) => ({ ...vm, reachesStore: true }));
    return this.rankAmong(readers) < constants.RANKED_READERS_COUNT;
  }

  /**
   * Number of live VMs that read the store before this one: those that reach it go first, then the
   * first of each data centre, so that one that is cut off from the others soon has a reader.
   */
  readerRank(reachesStore: boolean): number {
    if (this.isCutOffFromHubs()) return 0;
    return this.rankAmong([{ ...this.self, reachesStore }, ...this.livePeers()]);
  }

  /**
   * Whether all hubs are overdue, so that this VM is probably partitioned from them; other peers send
   * too rarely to show it.
   */
  private isCutOffFromHubs(): boolean {
    const hubs = this.livePeers().filter(({ isHub }) => isHub);
    const heartbeatsMs = constants.MAX_HUB_SILENCE_HEARTBEATS * this.heartbeatIntervalMs();
    const silenceMs = Math.max(constants.MIN_HUB_SILENCE_MS, heartbeatsMs);
    const oldestAtMs = this.clock.nowMs() - silenceMs;
    return hubs.length > 0 && hubs.every((hub) => hub.lastHeartbeatAtMs < oldestAtMs);
  }

  private rankAmong(readers: readonly Reader[]): number {
    const ranked = rankReaders.rankReaders(readers);
    return ranked.findIndex(({ vmName }) => vmName === this.self.vmName);
  }
}

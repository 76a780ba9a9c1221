import type * as clocks from "../../../_lib/clock/index.js";
import * as constants from "../../constants.js";
import type * as types from "../../types.js";
import type * as ageClocks from "../ageClock/index.js";
import type * as datagrams from "../datagrams/index.js";
import type * as workRelays from "../workRelay/index.js";

interface PeerState {
  readonly address: types.VmAddress;
  /** Null before the peer was heard from. */
  peer: types.Peer | null;
  introducedAtMs: number;
  isSilent: boolean;
  /** The peer's clocks in its last heartbeat. */
  lastStamp: ageClocks.Moment | null;
}

/** What a heartbeat told of its sender. */
export interface NotedPeer {
  readonly peer: types.Peer;
  readonly isNew: boolean;
  readonly isRestarted: boolean;
}

/** The VMs that this one knows, and when each was last heard from. */
export class PeerTable {
  private readonly states = new Map<string, PeerState>();

  constructor(
    private readonly clock: clocks.Clock,
    private readonly self: types.MeshIdentity,
  ) {}

  /** Interval between heartbeats; it grows with the fleet, so that a VM's share of work does not. */
  heartbeatIntervalMs(): number {
    const scaledMs = constants.HEARTBEAT_PER_PEER_MS * this.states.size;
    return Math.max(constants.HEARTBEAT_INTERVAL_MS, scaledMs);
  }

  /** Learns of a VM by its address; returns whether it was unknown. */
  introduce(address: types.VmAddress): boolean {
    if (address.vmName === this.self.vmName) return false;
    const known = this.states.get(address.vmName);
    const isSameAddress =
      known?.address.host === address.host && known.address.port === address.port;
    if (isSameAddress) return false;
    const wasHeard = known?.peer !== undefined && known.peer !== null;
    if (wasHeard && !known.isSilent) return false;
    this.states.set(address.vmName, {
      address,
      peer: null,
      introducedAtMs: this.clock.nowMs(),
      isSilent: false,
      lastStamp: null,
    });
    return true;
  }

  /** Takes in a heartbeat. */
  note(message: datagrams.Heartbeat): NotedPeer {
    const known = this.states.get(message.vmName);
    const { vmName, host, port } = message;
    const peer: types.Peer = {
      vmName,
      host,
      port,
      dataCentre: message.dataCentre,
      coresCount: message.coresCount,
      startedAtWallMs: message.startedAtWallMs,
      heardAtMs: this.clock.nowMs(),
      reachesStore: message.reachesStore,
      isAnchor: message.isAnchor,
    };
    const former = known?.peer ?? null;
    this.states.set(vmName, {
      address: { vmName, host, port },
      peer,
      introducedAtMs: known?.introducedAtMs ?? peer.heardAtMs,
      isSilent: false,
      lastStamp: message.sentAt,
    });
    return {
      peer,
      isNew: former === null || known?.isSilent === true,
      isRestarted: former !== null && former.startedAtWallMs !== peer.startedAtWallMs,
    };
  }

  /** Peers that were heard from lately. */
  live(): readonly types.Peer[] {
    const peers: types.Peer[] = [];
    for (const { peer, isSilent } of this.states.values()) {
      if (peer !== null && !isSilent) peers.push(peer);
    }
    return peers;
  }

  /** Whether VMs of a data centre were heard from before, and none is now; its anchors stand for it. */
  isSilent(dataCentre: string): boolean {
    const there = [...this.states.values()].filter(({ peer }) => peer?.dataCentre === dataCentre);
    const anchors = there.filter(({ peer }) => peer?.isAnchor);
    const heard = anchors.length > 0 ? anchors : there;
    return heard.length > 0 && heard.every(({ isSilent }) => isSilent);
  }

  /** Whether the fleet is so large that not all VMs tell all others of everything. */
  get isDivided(): boolean {
    return this.states.size >= constants.DIVIDED_FLEET_COUNT;
  }

  /** Whether this VM beats for all, and all for it: one of the largest of its data centre, or a reader. */
  isAnchor(reachesStore: boolean): boolean {
    const { dataCentre } = this.self;
    const isLarge = this.largestOf(dataCentre)
      .slice(0, constants.ANCHORS_COUNT)
      .some(({ vmName }) => vmName === this.self.vmName);
    return isLarge || this.readerRank(reachesStore) < constants.BEATING_READERS_COUNT;
  }

  /** Whether a VM is sent every heartbeat; among others of a large fleet one in some is enough. */
  isBeatenOften(vmName: string, isAnchorHere: boolean): boolean {
    if (!this.isDivided || isAnchorHere) return true;
    return this.states.get(vmName)?.peer?.isAnchor === true;
  }

  /** The VMs by whose way word of work goes. */
  workRoutes(): workRelays.WorkRoutes {
    const { dataCentre, vmName } = this.self;
    const all = this.live();
    const collector = this.largestOf(dataCentre)[0];
    const others = new Set(all.map((peer) => peer.dataCentre));
    others.delete(dataCentre);
    return {
      isDivided: this.isDivided,
      collector: collector === undefined || collector.vmName === vmName ? null : collector,
      neighbours: all.filter((peer) => peer.dataCentre === dataCentre),
      otherCollectors: [...others].flatMap((other) => this.largestOf(other).slice(0, 1)),
      all,
    };
  }

  /** Live VMs of a data centre, this one included, the largest first. */
  private largestOf(dataCentre: string): readonly types.MeshIdentity[] {
    const there: types.MeshIdentity[] = this.live().filter(
      (peer) => peer.dataCentre === dataCentre,
    );
    if (this.self.dataCentre === dataCentre) there.push(this.self);
    return there.sort(
      (left, right) => right.coresCount - left.coresCount || (left.vmName < right.vmName ? -1 : 1),
    );
  }

  /** Marks peers that have fallen silent since the last call, and forgets those that long are. */
  takeSilent(isAnchorHere: boolean): readonly types.Peer[] {
    const nowMs = this.clock.nowMs();
    const oftenLimitMs = constants.MISSED_HEARTBEATS_COUNT * this.heartbeatIntervalMs();
    const silent: types.Peer[] = [];
    for (const [vmName, state] of this.states) {
      const lastMs = state.peer?.heardAtMs ?? state.introducedAtMs;
      const isOften = this.isBeatenOften(vmName, isAnchorHere);
      const limitMs = isOften ? oftenLimitMs : oftenLimitMs * constants.SPARSE_BEATS_COUNT;
      if (nowMs - lastMs > constants.PEER_RETENTION_MS) this.states.delete(vmName);
      if (state.peer === null || state.isSilent || nowMs - lastMs <= limitMs) continue;
      state.isSilent = true;
      silent.push(state.peer);
    }
    return silent;
  }

  /** Addresses to send heartbeats to: all known VMs, silent ones included. */
  addresses(): readonly types.VmAddress[] {
    return [...this.states.values()].map(({ address }) => address);
  }

  /** A peer's clocks in its last heartbeat, to be returned to it. */
  lastStampOf(vmName: string): ageClocks.Moment | null {
    return this.states.get(vmName)?.lastStamp ?? null;
  }

  /** Whether a message comes from the process that was heard from last. */
  isCurrent(vmName: string, startedAtWallMs: number): boolean {
    const peer = this.states.get(vmName)?.peer;
    return peer?.startedAtWallMs === startedAtWallMs;
  }

  forget(vmName: string): void {
    this.states.delete(vmName);
  }

  /** How many live VMs read the store before this one: those that reach it and are larger. */
  readerRank(reachesStore: boolean): number {
    const own = { ...this.self, reachesStore };
    return this.live().filter((peer) => readsBefore(peer, own)).length;
  }
}

type Reader = Pick<types.Peer, "vmName" | "coresCount" | "reachesStore">;

function readsBefore(left: Reader, right: Reader): boolean {
  if (left.reachesStore !== right.reachesStore) return left.reachesStore;
  if (left.coresCount !== right.coresCount) return left.coresCount > right.coresCount;
  return left.vmName < right.vmName;
}

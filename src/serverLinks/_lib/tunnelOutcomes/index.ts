import type * as clocks from "../../../_lib/clock/index.js";
import * as constants from "../../constants.js";
import * as selectTunnelPeers from "../../selectTunnelPeers/index.js";
import * as types from "../../types.js";

const { TunnelOutcome } = selectTunnelPeers;

interface DatedOutcome {
  readonly outcome: selectTunnelPeers.TunnelOutcome;
  readonly atMs: number;
}

/** Refusals that show that a peer, and perhaps its data centre, does not reach a server. */
const UNREACHED: ReadonlySet<types.TunnelRefusal> = new Set([
  types.TunnelRefusal.PeerCutOff,
  types.TunnelRefusal.ServerUnreachable,
]);

/** Refusals after which a peer is not asked again for a while, whatever the server. */
const SUSPENDING: ReadonlySet<types.TunnelRefusal> = new Set([
  types.TunnelRefusal.PeerCutOff,
  types.TunnelRefusal.PeerUnavailable,
]);

/** How peers have lately answered requests for tunnels. */
export class TunnelOutcomes implements selectTunnelPeers.TunnelHistory {
  private readonly byPeer = new Map<string, DatedOutcome>();
  private readonly byDataCentre = new Map<string, DatedOutcome>();
  private readonly suspendedUntilMs = new Map<string, number>();

  constructor(private readonly clock: clocks.Clock) {}

  outcomeOfPeer = (vmName: string): selectTunnelPeers.TunnelOutcome =>
    this.read(this.byPeer, vmName);

  outcomeOfDataCentre = (dataCentre: string): selectTunnelPeers.TunnelOutcome =>
    this.read(this.byDataCentre, dataCentre);

  /** Name of a peer that has opened a tunnel lately; null if there is none. */
  get reachingVm(): string | null {
    const names = [...this.byPeer.keys()].reverse();
    return names.find((name) => this.outcomeOfPeer(name) === TunnelOutcome.Opened) ?? null;
  }

  /** Whether a peer is not to be asked at present. */
  isSuspended(vmName: string): boolean {
    return (this.suspendedUntilMs.get(vmName) ?? -Infinity) > this.clock.nowMs();
  }

  /** Records that a peer has opened a tunnel. */
  recordOpened(peer: types.TunnelPeer): void {
    this.suspendedUntilMs.delete(peer.vmName);
    this.record(peer, TunnelOutcome.Opened);
  }

  /** Records that a peer has opened no tunnel. */
  recordRefused(peer: types.TunnelPeer, refusal: types.TunnelRefusal): void {
    if (UNREACHED.has(refusal)) this.record(peer, TunnelOutcome.Refused);
    if (!SUSPENDING.has(refusal)) return;
    this.suspendedUntilMs.set(peer.vmName, this.clock.nowMs() + constants.PEER_SUSPENSION_MS);
  }

  /** Drops what is known of VMs that are no longer live. */
  retain(vmNames: ReadonlySet<string>): void {
    for (const names of [this.byPeer, this.suspendedUntilMs])
      for (const name of names.keys()) if (!vmNames.has(name)) names.delete(name);
  }

  private record(peer: types.TunnelPeer, outcome: selectTunnelPeers.TunnelOutcome): void {
    const dated = { outcome, atMs: this.clock.nowMs() };
    // Deleted first, so that the newest outcome is the last one of the map.
    this.byPeer.delete(peer.vmName);
    this.byPeer.set(peer.vmName, dated);
    this.byDataCentre.set(peer.dataCentre, dated);
  }

  private read(
    outcomes: ReadonlyMap<string, DatedOutcome>,
    key: string,
  ): selectTunnelPeers.TunnelOutcome {
    const dated = outcomes.get(key);
    const oldestAtMs = this.clock.nowMs() - constants.TUNNEL_OUTCOME_LIFETIME_MS;
    return dated === undefined || dated.atMs < oldestAtMs ? TunnelOutcome.None : dated.outcome;
  }
}

import type * as net from "node:net";

import * as neverthrow from "neverthrow";

import type * as clocks from "../../_lib/clock/index.js";
import type * as randoms from "../../_lib/random/index.js";
import type * as servers from "../../servers/index.js";
import * as tunnelOutcomes from "../_lib/tunnelOutcomes/index.js";
import * as constants from "../constants.js";
import * as selectTunnelPeers from "../selectTunnelPeers/index.js";
import * as types from "../types.js";

/** Dependencies of the search for tunnels. */
export interface FinderContext {
  readonly clock: clocks.Clock;
  readonly random: randoms.RandomSource;
  readonly vmName: string;
  readonly dataCentre: string;
  /** Lists the live peers. */
  readonly listPeers: () => readonly types.TunnelPeer[];
  readonly requestTunnel: types.RequestTunnel;
}

/** A tunnel, and the peer through which it leads. */
export interface FoundTunnel {
  readonly socket: net.Socket;
  readonly peer: types.TunnelPeer;
}

/** A search that has found no tunnel: which peers were asked, and how they answered. */
export interface FailedSearch {
  readonly causes: readonly string[];
}

/** What the peers that were asked say about a server. */
export enum PeerVerdict {
  /** At least one reaches it. */
  Reached = "reached",
  /** None reaches it: its address has refused the connection of a peer, of another data centre where there is one. */
  Refused = "refused",
  /** None reaches it, as a peer of another data centre has answered; also if there are no peers. */
  Unreached = "unreached",
  /** None is known to reach it, and those that have answered may be cut off with this VM. */
  Unknown = "unknown",
}

/** What the refusal of one peer shows, if the server's address has not refused its connection. */
const VERDICT_BY_REFUSAL: Readonly<Record<types.TunnelRefusal, PeerVerdict>> = {
  [types.TunnelRefusal.PeerCutOff]: PeerVerdict.Unreached,
  [types.TunnelRefusal.ServerUnreachable]: PeerVerdict.Unreached,
  [types.TunnelRefusal.ServerUnavailable]: PeerVerdict.Unreached,
  [types.TunnelRefusal.PeerUnavailable]: PeerVerdict.Unknown,
};

/** What a tunnel is wanted for. */
export interface SearchOptions {
  readonly requestId: string;
  readonly signal: AbortSignal;
}

/**
 * Finds a peer that opens a tunnel to a server. Peers are asked in the order of `selectTunnelPeers`: the next
 * one when the last one refuses, or has not answered for a while. A peer that is cut off itself names the VM
 * through which it reaches servers, which is asked next.
 */
export class TunnelFinder {
  private readonly outcomes: tunnelOutcomes.TunnelOutcomes;

  constructor(private readonly context: FinderContext) {
    this.outcomes = new tunnelOutcomes.TunnelOutcomes(context.clock);
  }

  /** Name of a peer that has opened a tunnel lately; null if there is none. */
  get reachingVm(): string | null {
    return this.outcomes.reachingVm;
  }

  /** Asks peers for a tunnel until one opens it; tunnels that others open later are closed unused. */
  find(
    server: servers.ServerEntry,
    { requestId, signal }: SearchOptions,
  ): Promise<neverthrow.Result<FoundTunnel, FailedSearch>> {
    const { clock, requestTunnel } = this.context;
    const queue = this.selectPeers(server.dataCentre);
    const askedNames = new Set<string>();
    const causes: string[] = [];
    const search = new AbortController();
    const bounded = AbortSignal.any([signal, search.signal]);
    let pendingCount = 0;
    let timer: Disposable | null = null;
    return new Promise((resolve) => {
      const finish = (result: neverthrow.Result<FoundTunnel, FailedSearch>): void => {
        timer?.[Symbol.dispose]();
        search.abort();
        resolve(result);
      };
      const askNext = (): void => {
        timer?.[Symbol.dispose]();
        if (search.signal.aborted) return;
        const peer = signal.aborted ? undefined : queue.shift();
        if (peer === undefined) {
          if (pendingCount === 0) finish(neverthrow.err({ causes }));
          return;
        }
        const isAsked = askedNames.has(peer.vmName);
        if (isAsked || askedNames.size >= constants.MAX_ASKED_PEERS_COUNT) {
          askNext();
          return;
        }
        askedNames.add(peer.vmName);
        pendingCount += 1;
        timer = clock.schedule(constants.TUNNEL_STAGGER_MS, askNext);
        void requestTunnel(peer, { server, requestId }, bounded).then((result) => {
          pendingCount -= 1;
          if (result.isOk()) {
            this.outcomes.recordOpened(peer);
            if (search.signal.aborted) result.value.destroy();
            else finish(neverthrow.ok({ socket: result.value, peer }));
            return;
          }
          if (bounded.aborted) {
            askNext();
            return;
          }
          const { cause, refusal, referredVm } = result.error;
          causes.push(`${peer.vmName} (${peer.dataCentre}, ${peer.linkState}): ${cause}`);
          this.outcomes.recordRefused(peer, refusal);
          const referred = this.findPeer(referredVm);
          if (referred !== null) queue.unshift(referred);
          askNext();
        });
      };
      askNext();
    });
  }

  /**
   * Asks a few peers at the same time whether they reach a server that this VM does not reach; the tunnels
   * that they open are closed unused. If no peer of another data centre has answered within
   * `PEER_PROBE_TIMEOUT_MS`, the verdict is `Unknown`.
   */
  async probe(server: servers.ServerEntry): Promise<PeerVerdict> {
    const { clock, dataCentre, requestTunnel } = this.context;
    const timeout = new AbortController();
    const timer = clock.schedule(constants.PEER_PROBE_TIMEOUT_MS, () => timeout.abort());
    // Also peers that open no tunnels at present can tell that a server refuses connections.
    const ranked = [false, true].flatMap((areSuspended) =>
      this.selectPeers(server.dataCentre, areSuspended),
    );
    const peers = ranked.slice(0, constants.PROBED_PEERS_COUNT);
    const request = { server, requestId: "" };
    const verdicts = await Promise.all(
      peers.map(async (peer) => {
        const result = await requestTunnel(peer, request, timeout.signal);
        if (result.isOk()) {
          this.outcomes.recordOpened(peer);
          result.value.destroy();
          return PeerVerdict.Reached;
        }
        const { refusal, doesServerRefuse } = result.error;
        return doesServerRefuse ? PeerVerdict.Refused : VERDICT_BY_REFUSAL[refusal];
      }),
    );
    timer[Symbol.dispose]();
    if (verdicts.includes(PeerVerdict.Reached)) return PeerVerdict.Reached;
    // Peers of the same data centre may be cut off together with this VM.
    const others = verdicts.filter((_, index) => peers[index]?.dataCentre !== dataCentre);
    const independent = others.length > 0 ? others : verdicts;
    if (independent.includes(PeerVerdict.Refused)) return PeerVerdict.Refused;
    const hasEvidence = independent.length === 0 || independent.includes(PeerVerdict.Unreached);
    // Peers that refuse for reasons of their own leave this VM with what it saw itself.
    return hasEvidence || !timeout.signal.aborted ? PeerVerdict.Unreached : PeerVerdict.Unknown;
  }

  private selectPeers(serverDataCentre: string, areSuspended = false): types.TunnelPeer[] {
    const { listPeers, random, dataCentre } = this.context;
    const peers = listPeers();
    this.outcomes.retain(new Set(peers.map(({ vmName }) => vmName)));
    const usable = peers.filter(({ vmName }) => this.outcomes.isSuspended(vmName) === areSuspended);
    const route = { ownDataCentre: dataCentre, serverDataCentre };
    return [...selectTunnelPeers.selectTunnelPeers(usable, route, this.outcomes, random)];
  }

  private findPeer(vmName: string | null): types.TunnelPeer | null {
    if (vmName === null || this.outcomes.isSuspended(vmName)) return null;
    return this.context.listPeers().find((peer) => peer.vmName === vmName) ?? null;
  }
}

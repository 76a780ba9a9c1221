import type * as clocks from "../../_lib/clock/index.js";
import * as constants from "../constants.js";
import { LinkState } from "../types.js";

/**
 * What this VM's connections show about its links to the servers, and whether it is cut off from all of
 * them. Servers that refuse or time out may have ended; only a peer that reaches one of them shows a cut.
 */
export class LinkMonitor {
  /** Servers that could not be connected to since the last one that was, and whether they refused. */
  private readonly failedIds = new Map<string, boolean>();
  private connectedAtMs = -Infinity;
  private failedAtMs = -Infinity;
  private cutOffSinceMs: number | null = null;
  private askPeersAtMs = -Infinity;
  private retryDelayMs = constants.MIN_TUNNEL_RETRY_DELAY_MS;

  constructor(private readonly clock: clocks.Clock) {}

  /** Whether this VM is cut off from all servers. */
  get isCutOff(): boolean {
    return this.cutOffSinceMs !== null;
  }

  /** Time for which this VM has been cut off; 0 if it is not. */
  get cutOffMs(): number {
    return this.cutOffSinceMs === null ? 0 : this.clock.nowMs() - this.cutOffSinceMs;
  }

  /** Servers that could not be connected to since the last one that was. */
  get unreachableIds(): readonly string[] {
    return [...this.failedIds.keys()];
  }

  /**
   * What this VM has seen of its links lately, which it reports to its peers.
   *
   * @param serversCount - all known servers, which may be fewer than usually have to fail
   */
  linkState(serversCount: number): LinkState {
    const oldestAtMs = this.clock.nowMs() - constants.LINK_EVIDENCE_LIFETIME_MS;
    const isFailing = this.hasEnoughFailed(serversCount) && this.failedAtMs >= oldestAtMs;
    if (this.isCutOff || isFailing) return LinkState.Failing;
    return this.connectedAtMs >= oldestAtMs ? LinkState.Reaches : LinkState.Unknown;
  }

  /** Whether this VM has failed to connect to a server, and to none since, within the evidence's lifetime. */
  hasFailedLately(serverId: string): boolean {
    const ageMs = this.clock.nowMs() - this.failedAtMs;
    return this.failedIds.has(serverId) && ageMs <= constants.LINK_EVIDENCE_LIFETIME_MS;
  }

  /** Whether that server's address has answered that nothing listens there. */
  hasBeenRefusedLately(serverId: string): boolean {
    return this.hasFailedLately(serverId) && this.failedIds.get(serverId) === true;
  }

  /**
   * Whether to ask a peer for a tunnel.
   *
   * @param serversCount - all known servers, which may be fewer than usually have to fail
   */
  shouldAskPeers(serversCount: number): boolean {
    if (this.isCutOff) return true;
    return this.hasEnoughFailed(serversCount) && this.clock.nowMs() >= this.askPeersAtMs;
  }

  /**
   * Records that this VM has connected to a server.
   *
   * @returns whether it shows that a cut is over
   */
  recordConnected(): boolean {
    this.failedIds.clear();
    this.connectedAtMs = this.clock.nowMs();
    this.retryDelayMs = constants.MIN_TUNNEL_RETRY_DELAY_MS;
    const wasCutOff = this.isCutOff;
    this.cutOffSinceMs = null;
    return wasCutOff;
  }

  /** Records that this VM could not connect to a server. */
  recordFailed(serverId: string, isRefused = false): void {
    this.failedIds.set(serverId, isRefused);
    this.failedAtMs = this.clock.nowMs();
  }

  /**
   * Records that a peer has reached a server that this VM did not.
   *
   * @returns whether it shows a cut that was not known
   */
  recordTunnel(): boolean {
    this.retryDelayMs = constants.MIN_TUNNEL_RETRY_DELAY_MS;
    if (this.isCutOff) return false;
    this.cutOffSinceMs = this.clock.nowMs();
    return true;
  }

  /** Records that no peer has reached a server either. */
  recordNoTunnel(): void {
    this.askPeersAtMs = this.clock.nowMs() + this.retryDelayMs;
    this.retryDelayMs = Math.min(2 * this.retryDelayMs, constants.MAX_TUNNEL_RETRY_DELAY_MS);
  }

  private hasEnoughFailed(serversCount: number): boolean {
    const neededCount = Math.min(constants.MIN_UNREACHABLE_SERVERS_COUNT, serversCount);
    return neededCount > 0 && this.failedIds.size >= neededCount;
  }
}

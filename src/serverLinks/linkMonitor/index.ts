import type * as clocks from "../../_lib/clock/index.js";
import * as constants from "../constants.js";

/**
 * Whether this VM is cut off from all servers, as its own connections and its peers' show. Servers that
 * refuse or time out may have ended; only a peer that reaches one of them shows a cut.
 */
export class LinkMonitor {
  private readonly failedIds = new Set<string>();
  private cutOffSinceMs: number | null = null;
  private askPeersAtMs = -Infinity;

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
    return [...this.failedIds];
  }

  /**
   * Whether to ask a peer for a tunnel.
   *
   * @param serversCount - all known servers, which may be fewer than usually have to fail
   */
  shouldAskPeers(serversCount: number): boolean {
    if (this.isCutOff) return true;
    const neededCount = Math.min(constants.MIN_UNREACHABLE_SERVERS_COUNT, serversCount);
    return this.failedIds.size >= neededCount && this.clock.nowMs() >= this.askPeersAtMs;
  }

  /**
   * Records that this VM has connected to a server.
   *
   * @returns whether it shows that a cut is over
   */
  recordConnected(): boolean {
    this.failedIds.clear();
    const wasCutOff = this.isCutOff;
    this.cutOffSinceMs = null;
    return wasCutOff;
  }

  /** Records that this VM could not connect to a server. */
  recordFailed(serverId: string): void {
    this.failedIds.add(serverId);
  }

  /**
   * Records that a peer has reached a server that this VM did not.
   *
   * @returns whether it shows a cut that was not known
   */
  recordTunnel(): boolean {
    if (this.isCutOff) return false;
    this.cutOffSinceMs = this.clock.nowMs();
    return true;
  }

  /** Records that no peer has reached a server either. */
  recordNoTunnel(): void {
    this.askPeersAtMs = this.clock.nowMs() + constants.TUNNEL_RETRY_DELAY_MS;
  }
}

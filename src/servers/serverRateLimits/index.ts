import type * as clocks from "../../_lib/clock/index.js";

/** What a server last stated about the rate of requests that it takes. */
export interface RateStatement {
  /** Requests a second from all VMs together; null if it names no limit any more. */
  readonly ratePerSecond: number | null;
  /** When a VM received it, on this VM's monotonic clock. */
  readonly heardAtMs: number;
}

/** Limits on the rate of requests that servers name in their answers. */
export class ServerRateLimits {
  private readonly statements = new Map<string, RateStatement>();

  constructor(private readonly clock: clocks.Clock) {}

  /**
   * Records what an answer of a server states.
   *
   * @returns whether it differs from what was known
   */
  record(serverId: string, ratePerSecond: number | null): boolean {
    const known = this.statements.get(serverId)?.ratePerSecond ?? null;
    if (ratePerSecond !== null || known !== null)
      this.statements.set(serverId, { ratePerSecond, heardAtMs: this.clock.nowMs() });
    return known !== ratePerSecond;
  }

  /** The limit that a server names, in requests a second from all VMs together; null if none. */
  ratePerSecond(serverId: string): number | null {
    return this.statements.get(serverId)?.ratePerSecond ?? null;
  }

  /** Removes what is known of all servers except the given ones. */
  retain(serverIds: ReadonlySet<string>): void {
    for (const serverId of this.statements.keys()) {
      if (!serverIds.has(serverId)) this.statements.delete(serverId);
    }
  }
}

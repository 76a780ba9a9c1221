/** Window over which a limited server's calls are counted. */
const WINDOW_MS = 4_000;

/** Time from the first naming of a limit until it binds the VMs. */
const NOTICE_MS = 3_000;

interface LimitedServer {
  readonly ratePerSecond: number;
  readonly namedAtMs: number;
  readonly callsAtMs: number[];
}

/** Checks that servers get no more calls than the limits that they name allow. */
export class RateCheck {
  private readonly servers = new Map<string, LimitedServer>();
  private vmDisturbedAtMs = -Infinity;

  /** Records that a server begins or ends to name a limit. */
  recordLimit(serverId: string, ratePerSecond: number | null): void {
    if (ratePerSecond === null) this.servers.delete(serverId);
    else this.servers.set(serverId, { ratePerSecond, namedAtMs: Date.now(), callsAtMs: [] });
  }

  /** Records a signal to a VM or its start: it may have forgotten the limits. */
  recordVmDisturbance(): void {
    this.vmDisturbedAtMs = Date.now();
  }

  /** Counts a call; returns what was violated, or null. */
  recordCall(serverId: string): string | null {
    const server = this.servers.get(serverId);
    if (server === undefined) return null;
    const nowMs = Date.now();
    server.callsAtMs.push(nowMs);
    const boundAtMs = Math.max(server.namedAtMs, this.vmDisturbedAtMs) + NOTICE_MS;
    const fromMs = Math.max(boundAtMs, nowMs - WINDOW_MS);
    const callsCount = server.callsAtMs.filter((atMs) => atMs >= fromMs).length;
    const allowedCount = (1.5 * server.ratePerSecond * WINDOW_MS) / 1_000 + 5;
    if (callsCount <= allowedCount) return null;
    return `${callsCount} calls in 4 s at ${serverId}, allowed ${allowedCount.toFixed(1)}`;
  }
}

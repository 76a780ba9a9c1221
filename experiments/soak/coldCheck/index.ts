/** What a cold server may get in any second: its rate times the ratio, and the count. */
const OVERRUN_RATIO = 1.5;
const TOLERANCE_COUNT = 5;

const WINDOW_MS = 1_000;

interface ColdServer {
  readonly ratePerSecond: number;
  readonly untilMs: number;
  arrivedAtMs: number[];
}

/** Checks that cold servers get no more requests a second than they bear, whatever happens to VMs meanwhile. */
export class ColdCheck {
  private readonly servers = new Map<string, ColdServer>();

  /** Records that a server is cold from now on, for a while. */
  recordCold(serverId: string, ratePerSecond: number, durationMs: number): void {
    this.servers.set(serverId, {
      ratePerSecond,
      untilMs: Date.now() + durationMs,
      arrivedAtMs: [],
    });
  }

  /** Counts a request; returns what was violated, or null. */
  recordArrival(serverId: string): string | null {
    const nowMs = Date.now();
    const server = this.servers.get(serverId);
    if (server === undefined || nowMs > server.untilMs) return null;
    server.arrivedAtMs = server.arrivedAtMs.filter((atMs) => atMs > nowMs - WINDOW_MS);
    server.arrivedAtMs.push(nowMs);
    const count = server.arrivedAtMs.length;
    const allowedCount = server.ratePerSecond * OVERRUN_RATIO + TOLERANCE_COUNT;
    if (count <= allowedCount) return null;
    return `${count} requests in a second at ${serverId}, allowed ${allowedCount.toFixed(1)}`;
  }
}

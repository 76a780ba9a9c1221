import type * as clocks from "../../_lib/clock/index.js";
import * as constants from "../constants.js";
import type * as types from "../types.js";

/** A server, and the start that its statements belong to. */
export type ServerStart = Pick<types.ServerEntry, "id" | "bornAtWallMs">;

/** What a server last stated about the rate of requests that it takes. */
export interface RateStatement {
  readonly serverId: string;
  readonly bornAtWallMs: number;
  /** Requests a second from all VMs together; null if it names no limit any more. */
  readonly ratePerSecond: number | null;
  /** Time since a VM received the statement. */
  readonly ageMs: number;
}

/** Limits on requests to cold servers, which bind beside what servers state themselves. */
export interface SlotLimits {
  delayMs(server: ServerStart): number;
  reserve(server: ServerStart): void;
}

const NO_LIMITS: SlotLimits = { delayMs: () => 0, reserve: () => undefined };

/** Place of this VM among all live VMs, in an order that differs from server to server. */
export interface VmRank {
  /** From 0. */
  readonly rank: number;
  readonly vmsCount: number;
}

interface ServerLimits {
  readonly bornAtWallMs: number;
  ratePerSecond: number | null;
  heardAtMs: number;
  /** Whether this VM received the statement on the rate itself, and not a peer. */
  isOwn: boolean;
  /** Time at which this VM may send its next request under the rate. */
  nextSlotAtMs: number;
  pausedUntilMs: number;
}

/**
 * What servers ask for in their answers: a rate of requests for all VMs together, and pauses for
 * the VM that they answer. The VMs that rank first for a server share its rate equally; there are
 * no more of them than requests a second, since a smaller share would let all VMs send one request
 * each at the same moment. A new start of a server knows nothing of its former requests. Limits on cold
 * servers bind as well, so that callers have one place to ask.
 */
export class ServerBackpressure {
  private readonly limits = new Map<string, ServerLimits>();

  constructor(
    private readonly clock: clocks.Clock,
    private readonly rankOf: (serverId: string) => VmRank,
    private readonly coldLimits: SlotLimits = NO_LIMITS,
  ) {}

  /**
   * Records the rate that an answer of a server states, or that it states none.
   *
   * @returns whether it differs from what was known
   */
  record(server: ServerStart, ratePerSecond: number | null): boolean {
    const isKnown = this.find(server) !== undefined;
    if (!isKnown && ratePerSecond === null) return false;
    return this.setRate(server, ratePerSecond, this.clock.nowMs(), true);
  }

  /** Records a statement that a peer has received, unless a later one is known. */
  recordPeerStatement({ serverId, bornAtWallMs, ratePerSecond, ageMs }: RateStatement): void {
    const server = { id: serverId, bornAtWallMs };
    const heardAtMs = this.clock.nowMs() - ageMs;
    const known = this.limits.get(serverId);
    if (known !== undefined && known.bornAtWallMs > bornAtWallMs) return;
    const isNewer = heardAtMs > (this.find(server)?.heardAtMs ?? -Infinity);
    if (isNewer) this.setRate(server, ratePerSecond, heardAtMs, false);
  }

  /** Records that a server wants no request of this VM for a time. */
  pause(server: ServerStart, durationMs: number): void {
    const limits = this.getOrCreate(server);
    limits.pausedUntilMs = Math.max(limits.pausedUntilMs, this.clock.nowMs() + durationMs);
  }

  /** Lists the latest statements that this VM has received itself, to be sent to its peers. */
  listOwnStatements(): readonly RateStatement[] {
    const nowMs = this.clock.nowMs();
    const statements: RateStatement[] = [];
    for (const [serverId, { isOwn, bornAtWallMs, ratePerSecond, heardAtMs }] of this.limits) {
      const ageMs = nowMs - heardAtMs;
      if (isOwn && ageMs <= constants.RATE_STATEMENT_RETENTION_MS)
        statements.push({ serverId, bornAtWallMs, ratePerSecond, ageMs });
    }
    return statements
      .sort((left, right) => left.ageMs - right.ageMs)
      .slice(0, constants.MAX_SHARED_RATE_STATEMENTS_COUNT);
  }

  /** Time until this VM may send a request to a server; Infinity if it has no share of the rate. */
  delayMs(server: ServerStart): number {
    return Math.max(this.coldDelayMs(server), this.statedDelayMs(server));
  }

  /** Time until this VM may send a request to a server as far as it is cold. */
  coldDelayMs(server: ServerStart): number {
    return this.coldLimits.delayMs(server);
  }

  /** Time for which a server wants no request of this VM; 0 if it has not asked for a pause. */
  pauseMs(server: ServerStart): number {
    return Math.max(0, (this.find(server)?.pausedUntilMs ?? -Infinity) - this.clock.nowMs());
  }

  /** Takes the next slot for a request to a server, which is due after the present delay. */
  reserve(server: ServerStart): void {
    this.coldLimits.reserve(server);
    const limits = this.find(server);
    if (limits === undefined || limits.ratePerSecond === null) return;
    const intervalMs = this.computeIntervalMs(server.id, limits.ratePerSecond);
    if (!Number.isFinite(intervalMs)) return;
    const earliestAtMs = Math.max(this.clock.nowMs(), limits.pausedUntilMs);
    limits.nextSlotAtMs = Math.max(earliestAtMs, limits.nextSlotAtMs) + intervalMs;
  }

  /** Removes what is known of all servers except the given ones. */
  retain(serverIds: ReadonlySet<string>): void {
    for (const serverId of this.limits.keys()) {
      if (!serverIds.has(serverId)) this.limits.delete(serverId);
    }
  }

  /** Time until the next slot under the rate that a server states, or the end of its pause. */
  private statedDelayMs(server: ServerStart): number {
    const limits = this.find(server);
    if (limits === undefined) return 0;
    const nowMs = this.clock.nowMs();
    const pauseMs = Math.max(0, limits.pausedUntilMs - nowMs);
    if (limits.ratePerSecond === null) return pauseMs;
    if (!Number.isFinite(this.computeIntervalMs(server.id, limits.ratePerSecond))) return Infinity;
    return Math.max(pauseMs, limits.nextSlotAtMs - nowMs);
  }

  /** Interval between two requests of this VM; Infinity if it has no share of the rate. */
  private computeIntervalMs(serverId: string, ratePerSecond: number): number {
    const { rank, vmsCount } = this.rankOf(serverId);
    const usedRatePerSecond = Math.max(constants.MIN_RATE_PER_SECOND, ratePerSecond);
    const sendersCount = Math.min(vmsCount, Math.ceil(usedRatePerSecond));
    return rank < sendersCount ? (1_000 * sendersCount) / usedRatePerSecond : Infinity;
  }

  private find({ id, bornAtWallMs }: ServerStart): ServerLimits | undefined {
    const known = this.limits.get(id);
    return known?.bornAtWallMs === bornAtWallMs ? known : undefined;
  }

  private getOrCreate(server: ServerStart): ServerLimits {
    const known = this.find(server);
    if (known !== undefined) return known;
    const created = {
      bornAtWallMs: server.bornAtWallMs,
      ratePerSecond: null,
      heardAtMs: -Infinity,
      isOwn: false,
      nextSlotAtMs: -Infinity,
      pausedUntilMs: -Infinity,
    };
    this.limits.set(server.id, created);
    return created;
  }

  private setRate(
    server: ServerStart,
    ratePerSecond: number | null,
    heardAtMs: number,
    isOwn: boolean,
  ): boolean {
    const limits = this.getOrCreate(server);
    const isChanged = limits.ratePerSecond !== ratePerSecond;
    Object.assign(limits, { ratePerSecond, heardAtMs, isOwn });
    if (!isChanged || ratePerSecond === null) return isChanged;
    // A slot that was far off under a lower rate is due within one interval of the new one.
    const intervalMs = this.computeIntervalMs(server.id, ratePerSecond);
    limits.nextSlotAtMs = Math.min(limits.nextSlotAtMs, this.clock.nowMs() + intervalMs);
    return true;
  }
}

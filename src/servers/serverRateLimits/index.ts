import type * as clocks from "../../_lib/clock/index.js";
import * as constants from "../constants.js";

/** What a server last stated about the rate of requests that it takes. */
export interface RateStatement {
  readonly serverId: string;
  /** Requests a second from all VMs together; null if it names no limit any more. */
  readonly ratePerSecond: number | null;
  /** Time since a VM received the statement. */
  readonly ageMs: number;
}

/** Place of this VM among all live VMs, in an order that differs from server to server. */
export interface VmRank {
  /** From 0. */
  readonly rank: number;
  readonly vmsCount: number;
}

interface LimitState {
  ratePerSecond: number | null;
  heardAtMs: number;
  /** Whether this VM received the statement itself, and not a peer. */
  isOwn: boolean;
  /** Time at which this VM may send its next request. */
  nextSlotAtMs: number;
}

/**
 * Limits on the rate of requests that servers name, for all VMs together. The VMs that rank first
 * for a server share its rate equally; there are no more of them than requests a second, since a
 * smaller share would let all VMs send one request each at the same moment.
 */
export class ServerRateLimits {
  private readonly states = new Map<string, LimitState>();

  constructor(
    private readonly clock: clocks.Clock,
    private readonly rankOf: (serverId: string) => VmRank,
  ) {}

  /**
   * Records what an answer of a server states.
   *
   * @returns whether it differs from what was known
   */
  record(serverId: string, ratePerSecond: number | null): boolean {
    return this.update(serverId, ratePerSecond, this.clock.nowMs(), true);
  }

  /** Records a statement that a peer has received, unless a later one is known. */
  recordPeerStatement({ serverId, ratePerSecond, ageMs }: RateStatement): void {
    const heardAtMs = this.clock.nowMs() - ageMs;
    const known = this.states.get(serverId);
    if (known === undefined || heardAtMs > known.heardAtMs)
      this.update(serverId, ratePerSecond, heardAtMs, false);
  }

  /** Lists the latest statements that this VM has received itself, to be sent to its peers. */
  listOwnStatements(): readonly RateStatement[] {
    const nowMs = this.clock.nowMs();
    const statements: RateStatement[] = [];
    for (const [serverId, { isOwn, ratePerSecond, heardAtMs }] of this.states) {
      const ageMs = nowMs - heardAtMs;
      if (isOwn && ageMs <= constants.RATE_STATEMENT_RETENTION_MS)
        statements.push({ serverId, ratePerSecond, ageMs });
    }
    return statements
      .sort((left, right) => left.ageMs - right.ageMs)
      .slice(0, constants.MAX_SHARED_RATE_STATEMENTS_COUNT);
  }

  /** Time until this VM may send a request to a server; Infinity if it has no share of the rate. */
  delayMs(serverId: string): number {
    const state = this.states.get(serverId);
    if (state === undefined || state.ratePerSecond === null) return 0;
    if (!Number.isFinite(this.computeIntervalMs(serverId, state.ratePerSecond))) return Infinity;
    return Math.max(0, state.nextSlotAtMs - this.clock.nowMs());
  }

  /** Takes the next slot for a request to a server, which is due after the present delay. */
  reserve(serverId: string): void {
    const state = this.states.get(serverId);
    if (state === undefined || state.ratePerSecond === null) return;
    const intervalMs = this.computeIntervalMs(serverId, state.ratePerSecond);
    if (!Number.isFinite(intervalMs)) return;
    state.nextSlotAtMs = Math.max(this.clock.nowMs(), state.nextSlotAtMs) + intervalMs;
  }

  /** Removes what is known of all servers except the given ones. */
  retain(serverIds: ReadonlySet<string>): void {
    for (const serverId of this.states.keys()) {
      if (!serverIds.has(serverId)) this.states.delete(serverId);
    }
  }

  /** Interval between two requests of this VM; Infinity if it has no share of the rate. */
  private computeIntervalMs(serverId: string, ratePerSecond: number): number {
    const { rank, vmsCount } = this.rankOf(serverId);
    const usedRatePerSecond = Math.max(constants.MIN_RATE_PER_SECOND, ratePerSecond);
    const sendersCount = Math.min(vmsCount, Math.ceil(usedRatePerSecond));
    return rank < sendersCount ? (1_000 * sendersCount) / usedRatePerSecond : Infinity;
  }

  private update(
    serverId: string,
    ratePerSecond: number | null,
    heardAtMs: number,
    isOwn: boolean,
  ): boolean {
    const known = this.states.get(serverId);
    if (known === undefined) {
      if (ratePerSecond === null) return false;
      const nextSlotAtMs = this.clock.nowMs();
      this.states.set(serverId, { ratePerSecond, heardAtMs, isOwn, nextSlotAtMs });
      return true;
    }
    const isChanged = known.ratePerSecond !== ratePerSecond;
    Object.assign(known, { ratePerSecond, heardAtMs, isOwn });
    // A slot that was far off under the former rate would outlast it.
    if (isChanged) known.nextSlotAtMs = this.clock.nowMs();
    return isChanged;
  }
}

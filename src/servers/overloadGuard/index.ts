import type * as clocks from "../../_lib/clock/index.js";
import * as constants from "../constants.js";
import type * as serverBackpressures from "../serverBackpressure/index.js";
import type * as types from "../types.js";

/** What an answer of a server states about its capacity. */
export interface CapacityStatement {
  /** Rejections a second above which it crashes; null if it states none. */
  readonly maxRejectionsPerSecond: number | null;
  /** Whether it rejects a request for lack of capacity. */
  readonly isRejection: boolean;
}

/** What VMs tell each other of an overloaded service: its latest rejection, and its latest statement to be brittle. */
export interface Overload {
  readonly serviceName: string;
  /** Time since the latest rejection. */
  readonly rejectedAgoMs: number;
  /** Time since a server last stated that it is brittle; absent if none has, and from earlier releases. */
  readonly brittleAgoMs?: number | undefined;
}

/** The latest rejections of this VM's requests by one start of a server. */
interface ServerRejections {
  readonly bornAtWallMs: number;
  readonly atMs: readonly number[];
  readonly maxPerSecond: number;
}

interface ServiceState {
  /** When a server last stated that it is brittle, to any VM. */
  brittleAtMs: number;
  /** When a server last stated so to this VM. Only this is gossiped: relayed ages would shrink by each hop's delay. */
  statedAtMs: number;
  /** When a server last answered this VM without stating that it is brittle. */
  sturdyAtMs: number;
  rejectedAtMs: number;
}

type RejectingServer = Pick<types.ServerEntry, "id" | "serviceName" | "bornAtWallMs">;

/**
 * Knows which services have brittle servers, which crash when they reject too many requests a second, and
 * which of them have rejected requests. A statement of one server of a service holds for all of them, as one
 * that has just started has not made any yet. It holds until servers have answered without it for a while. It
 * holds longer where nobody calls, or the next calls would find the service unprotected, but not for ever: a VM
 * that no peer lends a place gets no answers that would end its belief.
 */
export class OverloadGuard {
  private readonly services = new Map<string, ServiceState>();
  private readonly rejections = new Map<string, ServerRejections>();

  constructor(
    private readonly clock: clocks.Clock,
    private readonly rankOf: (serverId: string) => serverBackpressures.VmRank,
  ) {}

  /** Records what an answer of a server states about its capacity. */
  recordAnswer(
    server: RejectingServer,
    { maxRejectionsPerSecond, isRejection }: CapacityStatement,
  ): void {
    const state = this.stateOf(server.serviceName);
    if (maxRejectionsPerSecond !== null) state.brittleAtMs = state.statedAtMs = this.clock.nowMs();
    else state.sturdyAtMs = this.clock.nowMs();
    if (!isRejection) return;
    state.rejectedAtMs = this.clock.nowMs();
    if (maxRejectionsPerSecond !== null) this.recordRejection(server, maxRejectionsPerSecond);
  }

  /** Records what a peer knows of a service. */
  recordPeerOverload({ serviceName, rejectedAgoMs, brittleAgoMs }: Overload): void {
    const nowMs = this.clock.nowMs();
    const state = this.stateOf(serviceName);
    state.rejectedAtMs = Math.max(state.rejectedAtMs, nowMs - rejectedAgoMs);
    if (brittleAgoMs !== undefined)
      state.brittleAtMs = Math.max(state.brittleAtMs, nowMs - brittleAgoMs);
  }

  /** Lists the services whose servers are brittle or have rejected requests lately, to be told to the peers. */
  listOverloads(): readonly Overload[] {
    const nowMs = this.clock.nowMs();
    return [...this.services]
      .filter(([serviceName]) => this.isBrittle(serviceName) || this.hasRejected(serviceName))
      .map(([serviceName, { rejectedAtMs, statedAtMs }]): Overload => {
        const rejectedAgoMs = Math.min(nowMs - rejectedAtMs, constants.MAX_OVERLOAD_AGE_MS);
        if (!Number.isFinite(statedAtMs)) return { serviceName, rejectedAgoMs };
        return { serviceName, rejectedAgoMs, brittleAgoMs: nowMs - statedAtMs };
      })
      .sort((left, right) => ageOf(left) - ageOf(right))
      .slice(0, constants.MAX_SHARED_OVERLOADS_COUNT);
  }

  /**
   * Whether a server has rejected about as many requests within a second as make it crash. Each VM sees its
   * own requests alone, and takes them for an equal share of all.
   */
  hasRejectedTooMany(server: RejectingServer): boolean {
    const count = this.countRejections(server);
    const { maxPerSecond = Infinity } = this.rejections.get(server.id) ?? {};
    return count > 0 && count * this.rankOf(server.id).vmsCount >= maxPerSecond;
  }

  /** Removes the rejections by all servers except the given ones. */
  retain(serverIds: ReadonlySet<string>): void {
    for (const serverId of this.rejections.keys()) {
      if (!serverIds.has(serverId)) this.rejections.delete(serverId);
    }
  }

  /** Whether the servers of a service are brittle. */
  isBrittle(serviceName: string): boolean {
    const state = this.services.get(serviceName);
    if (state === undefined || !Number.isFinite(state.brittleAtMs)) return false;
    const isOld = this.clock.nowMs() - state.brittleAtMs >= constants.BRITTLE_BELIEF_LIFETIME_MS;
    return !isOld && state.sturdyAtMs - state.brittleAtMs < constants.OVERLOAD_RETENTION_MS;
  }

  /** Rejections of this VM's requests by a server within the last second. */
  countRejections({ id, bornAtWallMs }: Pick<types.ServerEntry, "id" | "bornAtWallMs">): number {
    const known = this.rejections.get(id);
    return known?.bornAtWallMs === bornAtWallMs ? this.listRecent(known.atMs).length : 0;
  }

  private recordRejection({ id, bornAtWallMs }: RejectingServer, maxPerSecond: number): void {
    const known = this.rejections.get(id);
    const formerAtMs = known?.bornAtWallMs === bornAtWallMs ? this.listRecent(known.atMs) : [];
    const atMs = [...formerAtMs, this.clock.nowMs()].slice(-constants.MAX_COUNTED_REJECTIONS);
    this.rejections.set(id, { bornAtWallMs, atMs, maxPerSecond });
  }

  private listRecent(timesMs: readonly number[]): readonly number[] {
    const fromMs = this.clock.nowMs() - constants.REJECTION_COUNT_MS;
    return timesMs.filter((atMs) => atMs > fromMs);
  }

  private hasRejected(serviceName: string): boolean {
    const { rejectedAtMs = -Infinity } = this.services.get(serviceName) ?? {};
    return this.clock.nowMs() - rejectedAtMs < constants.OVERLOAD_RETENTION_MS;
  }

  private stateOf(serviceName: string): ServiceState {
    const known = this.services.get(serviceName);
    if (known !== undefined) return known;
    const created = {
      brittleAtMs: -Infinity,
      statedAtMs: -Infinity,
      sturdyAtMs: -Infinity,
      rejectedAtMs: -Infinity,
    };
    this.services.set(serviceName, created);
    return created;
  }
}

function ageOf({ rejectedAgoMs, brittleAgoMs = Infinity }: Overload): number {
  return Math.min(rejectedAgoMs, brittleAgoMs);
}

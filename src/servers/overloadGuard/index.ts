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

/** The latest rejection by a server of a service, as VMs tell each other. */
export interface Overload {
  readonly serviceName: string;
  readonly rejectedAgoMs: number;
}

interface ServiceState {
  brittleAtMs: number;
  rejectedAtMs: number;
}

type RankedServer = Pick<types.ServerEntry, "id" | "serviceName" | "slotsCount">;

/**
 * Limits this VM's concurrent requests at brittle servers, which crash when they reject too many a second.
 * Without rejections each VM's limit is its share of the slots, rounded up; after a rejection by any server
 * of the service, the limits of all VMs add up to the slots. A statement of one server of a service holds
 * for all of them, as one that has just started has not made any yet.
 */
export class OverloadGuard {
  private readonly services = new Map<string, ServiceState>();

  constructor(
    private readonly clock: clocks.Clock,
    private readonly rankOf: (serverId: string) => serverBackpressures.VmRank,
  ) {}

  /** Records what an answer of a server states about its capacity. */
  recordAnswer(
    { serviceName }: RankedServer,
    { maxRejectionsPerSecond, isRejection }: CapacityStatement,
  ): void {
    const state = this.stateOf(serviceName);
    if (maxRejectionsPerSecond !== null) state.brittleAtMs = this.clock.nowMs();
    if (isRejection) state.rejectedAtMs = this.clock.nowMs();
  }

  /** Records a rejection that a peer has received. */
  recordPeerOverload({ serviceName, rejectedAgoMs }: Overload): void {
    const state = this.stateOf(serviceName);
    state.rejectedAtMs = Math.max(state.rejectedAtMs, this.clock.nowMs() - rejectedAgoMs);
  }

  /** Lists the services whose servers have rejected requests lately, to be told to the peers. */
  listOverloads(): readonly Overload[] {
    const nowMs = this.clock.nowMs();
    return [...this.services]
      .map(([serviceName, state]) => ({ serviceName, rejectedAgoMs: nowMs - state.rejectedAtMs }))
      .filter(({ rejectedAgoMs }) => rejectedAgoMs < constants.OVERLOAD_RETENTION_MS)
      .slice(0, constants.MAX_SHARED_OVERLOADS_COUNT);
  }

  /** Whether the servers of a service are brittle and have rejected requests lately. */
  isOverloaded(serviceName: string): boolean {
    return this.isBrittle(serviceName) && this.hasRejected(serviceName);
  }

  /** Number of requests that this VM may have at a server at a time; Infinity if there is no bound. */
  placesAt({ id, serviceName, slotsCount }: RankedServer): number {
    if (!this.isBrittle(serviceName)) return Infinity;
    const { rank, vmsCount } = this.rankOf(id);
    if (!this.hasRejected(serviceName)) return Math.ceil(slotsCount / vmsCount);
    const hasExtraPlace = rank < slotsCount % vmsCount;
    return Math.floor(slotsCount / vmsCount) + (hasExtraPlace ? 1 : 0);
  }

  private isBrittle(serviceName: string): boolean {
    return this.isRecent(this.services.get(serviceName)?.brittleAtMs);
  }

  private hasRejected(serviceName: string): boolean {
    return this.isRecent(this.services.get(serviceName)?.rejectedAtMs);
  }

  private isRecent(atMs = -Infinity): boolean {
    return this.clock.nowMs() - atMs < constants.OVERLOAD_RETENTION_MS;
  }

  private stateOf(serviceName: string): ServiceState {
    const known = this.services.get(serviceName);
    if (known !== undefined) return known;
    const created = { brittleAtMs: -Infinity, rejectedAtMs: -Infinity };
    this.services.set(serviceName, created);
    return created;
  }
}

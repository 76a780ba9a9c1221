import type * as clocks from "../../_lib/clock/index.js";
import * as constants from "../constants.js";
import type * as serverBackpressures from "../serverBackpressure/index.js";
import type * as types from "../types.js";

/** What an answer of a server says about its room. */
export interface RoomStatement {
  /** Rejections a second beyond which it ends; null if it does not say so. */
  readonly maxRejectionsPerSecond: number | null;
  /** Whether it rejects a request for want of room. */
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
 * Keeps brittle servers, which end when they have to reject too much, from having to: each VM has places
 * at each of them and sends no more at a time. Without rejections the places are rounded up; after one,
 * by whichever server of the service, the places of all VMs add up to the server's slots. What holds for
 * one server of a service is taken to hold for all of them, also for one that has just started.
 */
export class OverloadGuard {
  private readonly services = new Map<string, ServiceState>();

  constructor(
    private readonly clock: clocks.Clock,
    private readonly rankOf: (serverId: string) => serverBackpressures.VmRank,
  ) {}

  /** Records what an answer of a server says about its room. */
  recordAnswer(
    { serviceName }: RankedServer,
    { maxRejectionsPerSecond, isRejection }: RoomStatement,
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

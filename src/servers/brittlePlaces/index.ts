import * as counts from "../../_lib/changeCount/index.js";
import type * as clocks from "../../_lib/clock/index.js";
import * as constants from "../constants.js";
import type * as overloadGuards from "../overloadGuard/index.js";
import type * as types from "../types.js";

/** Dependencies of the places at brittle servers. */
export interface BrittlePlacesContext {
  readonly clock: clocks.Clock;
  readonly vmName: string;
  readonly overloadGuard: Pick<overloadGuards.OverloadGuard, "isBrittle" | "countRejections">;
  /** Names of all known VMs, silent ones included, in an order that depends on the key. */
  readonly orderVms: (key: string) => readonly string[];
  /** Whether this VM has read which VMs there are since its start. */
  readonly knowsFleet: () => boolean;
  /** Time that calls at a server usually take; null if it is not known. */
  readonly typicalMs: (serverId: string) => number | null;
}

/** A place at a server that a peer has on loan. */
export interface LentPlace {
  /** Ends the loan; a place whose request the server may still run is free when calls usually end. */
  readonly end: (mayStillRun: boolean) => void;
}

type PlacedServer = Pick<types.ServerEntry, "id" | "serviceName" | "slotsCount" | "bornAtWallMs">;

/** A VM that has places at a server. */
export interface PlaceHolder {
  readonly vmName: string;
  readonly placesCount: number;
}

/**
 * Divides the slots of brittle servers among the VMs, as places for concurrent requests: those of all VMs
 * together are never more than the slots, since a server that has to reject too many requests crashes. The VMs
 * that rank first for a server have its places. Silent VMs count too, so that the shares of a fleet that is cut in
 * parts still add up. A VM without places asks one that has some for the loan of one.
 */
export class BrittlePlaces {
  private readonly startedAtMs: number;
  private readonly orders = new Map<string, { readonly atMs: number; names: readonly string[] }>();
  private readonly takenCounts = new Map<string, number>();
  private readonly waitingCounts = new Map<string, number>();
  private readonly requestCounts = new Map<string, number>();
  private loansCount = 0;

  constructor(private readonly context: BrittlePlacesContext) {
    this.startedAtMs = context.clock.nowMs();
  }

  /** Number of places that peers have on loan. */
  get lentCount(): number {
    return this.loansCount;
  }

  /** Whether this VM may send a server another request now. */
  isFree(server: PlacedServer): boolean {
    if (!this.context.overloadGuard.isBrittle(server.serviceName)) return true;
    return this.takenCount(server) < this.countPlaces(server);
  }

  /** Places that this VM has at a server if it is brittle. A place at which a request was rejected rests. */
  countPlaces(server: PlacedServer): number {
    const { clock, overloadGuard, vmName } = this.context;
    const names = this.orderVms(server.id);
    const isSettled = clock.nowMs() - this.startedAtMs >= constants.VIEW_SETTLING_MS;
    if (!isSettled && !this.context.knowsFleet()) return 0;
    const count = shareOf(names.indexOf(vmName), names.length, server);
    return Math.max(0, count - overloadGuard.countRejections(server));
  }

  /** Lists the other VMs that have places at a server. */
  listHolders(server: PlacedServer): readonly PlaceHolder[] {
    const names = this.orderVms(server.id);
    return names
      .slice(0, Math.max(1, server.slotsCount))
      .map((vmName, rank) => ({ vmName, placesCount: shareOf(rank, names.length, server) }))
      .filter(({ vmName }) => vmName !== this.context.vmName);
  }

  /** Takes a place for a request; it is free again when the result is disposed of. */
  take({ id }: Pick<types.ServerEntry, "id">): Disposable {
    counts.changeCount(this.takenCounts, id, 1);
    let isTaken = true;
    return {
      [Symbol.dispose]: () => {
        if (isTaken) counts.changeCount(this.takenCounts, id, -1);
        isTaken = false;
      },
    };
  }

  /**
   * Lends a place at a server to a peer that takes it for brittle, as soon as one is free.
   *
   * @returns the place; null if none is free in time
   */
  async lend(server: PlacedServer, waitMs: number, signal: AbortSignal): Promise<LentPlace | null> {
    const { clock } = this.context;
    const waitsUntilMs = clock.nowMs() + waitMs;
    if (this.countPlaces(server) === 0) return null;
    if ((this.waitingCounts.get(server.id) ?? 0) >= constants.MAX_WAITING_LOANS_COUNT) return null;
    counts.changeCount(this.waitingCounts, server.id, 1);
    try {
      for (;;) {
        if (signal.aborted) return null;
        if (this.takenCount(server) < this.countPlaces(server)) return this.loan(server);
        if (clock.nowMs() >= waitsUntilMs) return null;
        // Rejects only if the peer has left.
        await clock.sleep(constants.PLACE_LOAN_INTERVAL_MS, signal).catch(() => null);
      }
    } finally {
      counts.changeCount(this.waitingCounts, server.id, -1);
    }
  }

  /** Lets one of a service's waiting calls ask for a loan until the result is disposed of; null if others ask. */
  takeTurn(serviceName: string): Disposable | null {
    const count = this.requestCounts.get(serviceName) ?? 0;
    if (count >= constants.MAX_LOAN_REQUESTS_COUNT) return null;
    counts.changeCount(this.requestCounts, serviceName, 1);
    return {
      [Symbol.dispose]: () => counts.changeCount(this.requestCounts, serviceName, -1),
    };
  }

  /** Removes what is known of all servers except the given ones. */
  retain(serverIds: ReadonlySet<string>): void {
    for (const serverId of this.orders.keys())
      if (!serverIds.has(serverId)) this.orders.delete(serverId);
  }

  private loan(server: PlacedServer): LentPlace {
    const { clock, typicalMs } = this.context;
    const place = this.take(server);
    this.loansCount += 1;
    let isLent = true;
    const end = (mayStillRun: boolean): void => {
      if (!isLent) return;
      isLent = false;
      this.loansCount -= 1;
      const holdMs = mayStillRun ? (typicalMs(server.id) ?? 0) : 0;
      if (holdMs > 0) clock.schedule(holdMs, () => place[Symbol.dispose]());
      else place[Symbol.dispose]();
    };
    return { end };
  }

  private takenCount({ id }: PlacedServer): number {
    return this.takenCounts.get(id) ?? 0;
  }

  private orderVms(serverId: string): readonly string[] {
    const nowMs = this.context.clock.nowMs();
    const known = this.orders.get(serverId);
    if (known !== undefined && nowMs - known.atMs < constants.VM_ORDER_AGE_MS) return known.names;
    const names = this.context.orderVms(serverId);
    this.orders.set(serverId, { atMs: nowMs, names });
    return names;
  }
}

function shareOf(rank: number, vmsCount: number, { slotsCount }: PlacedServer): number {
  const count = Math.max(1, slotsCount);
  return Math.floor(count / vmsCount) + (rank < count % vmsCount ? 1 : 0);
}

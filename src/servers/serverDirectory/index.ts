import type * as clocks from "../../_lib/clock/index.js";
import * as constants from "../constants.js";
import * as types from "../types.js";

type LeavingListener = (server: types.KnownServer) => void;

/**
 * The backend servers of all services, from their entries in the platform's store and from what
 * their answers say. A sign that a server leaves is never taken back for the same start of it.
 */
export class ServerDirectory {
  private readonly servers = new Map<string, types.KnownServer>();
  private readonly lapsed = new Map<string, number>();
  private readonly leavingListeners = new Set<LeavingListener>();
  private storeRegainedAtMs = -Infinity;

  constructor(private readonly clock: clocks.Clock) {}

  /**
   * Takes in an entry; older messages and older starts of the same server change nothing.
   *
   * @returns whether it tells of a start that was not known
   */
  apply(entry: types.ServerEntry): boolean {
    const known = this.servers.get(entry.id);
    this.lapsed.delete(entry.id);
    if (known !== undefined && isOlder(entry, known.entry)) return false;
    const isSameStart = known?.entry.bornAtWallMs === entry.bornAtWallMs;
    const heardAtMs = this.clock.nowMs();
    const isBackAfterLapse = isSameStart && known.leaving === types.LeavingSign.EntryGone;
    const keepsSign = isSameStart && !isBackAfterLapse;
    this.servers.set(entry.id, {
      entry,
      heardAtMs,
      leaving: keepsSign ? known.leaving : null,
      leavingSinceMs: keepsSign ? known.leavingSinceMs : 0,
    });
    this.retireFormerTenants(entry);
    if (entry.state === types.ServerState.Draining) {
      this.markLeaving(entry.id, types.LeavingSign.Announced);
    }
    return !isSameStart;
  }

  /** Notes that a server's entry is gone from the store. */
  remove(serverId: string): void {
    if (!this.servers.has(serverId)) return;
    const graceEndsAtMs = this.storeRegainedAtMs + constants.LAPSED_ENTRY_GRACE_MS;
    if (this.clock.nowMs() < graceEndsAtMs) {
      this.lapsed.set(serverId, graceEndsAtMs);
      return;
    }
    this.markLeaving(serverId, types.LeavingSign.EntryGone);
  }

  /** Notes that a whole listing was taken in: servers that it lacks are gone. */
  retainListed(listedIds: ReadonlySet<string>): void {
    for (const serverId of this.servers.keys()) {
      if (!listedIds.has(serverId)) this.remove(serverId);
    }
  }

  /** The store answers again after an outage, in which entries may have lapsed by mistake. */
  noteStoreRegained(): void {
    this.storeRegainedAtMs = this.clock.nowMs();
  }

  /** Gives no more work to a server; does nothing where that is known already. */
  markLeaving(serverId: string, sign: types.LeavingSign): void {
    const known = this.servers.get(serverId);
    if (known?.leaving !== null) return;
    const leaving = { ...known, leaving: sign, leavingSinceMs: this.clock.nowMs() };
    this.servers.set(serverId, leaving);
    for (const listener of this.leavingListeners) listener(leaving);
  }

  /** Ends the grace of entries that did not come back, and forgets servers that left long ago. */
  sweep(): void {
    const nowMs = this.clock.nowMs();
    for (const [serverId, graceEndsAtMs] of this.lapsed) {
      if (nowMs < graceEndsAtMs) continue;
      this.lapsed.delete(serverId);
      this.markLeaving(serverId, types.LeavingSign.EntryGone);
    }
    for (const [serverId, server] of this.servers) {
      const isLongGone = nowMs - server.leavingSinceMs > constants.DEPARTED_RETENTION_MS;
      if (server.leaving !== null && isLongGone) this.servers.delete(serverId);
    }
  }

  find(serverId: string): types.KnownServer | undefined {
    return this.servers.get(serverId);
  }

  /** Servers of a service that take new work. */
  available(serviceName: string): readonly types.KnownServer[] {
    return [...this.servers.values()].filter(
      ({ entry, leaving }) => leaving === null && entry.serviceName === serviceName,
    );
  }

  /** All servers that are known, those that leave included. */
  all(): readonly types.KnownServer[] {
    return [...this.servers.values()];
  }

  onLeaving(listener: LeavingListener): Disposable {
    this.leavingListeners.add(listener);
    return { [Symbol.dispose]: () => void this.leavingListeners.delete(listener) };
  }

  /** An address has one server at a time: who had it before is gone. */
  private retireFormerTenants(entry: types.ServerEntry): void {
    for (const { entry: other, leaving } of this.servers.values()) {
      if (leaving !== null || other.id === entry.id) continue;
      if (other.host !== entry.host || other.port !== entry.port) continue;
      const isOtherOlder = other.bornAtWallMs <= entry.bornAtWallMs;
      const goneId = isOtherOlder ? other.id : entry.id;
      this.markLeaving(goneId, types.LeavingSign.ReplacedAtAddress);
    }
  }
}

function isOlder(entry: types.ServerEntry, known: types.ServerEntry): boolean {
  if (entry.bornAtWallMs !== known.bornAtWallMs) return entry.bornAtWallMs < known.bornAtWallMs;
  return entry.sequence < known.sequence;
}

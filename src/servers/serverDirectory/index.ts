import type * as clocks from "../../_lib/clock/index.js";
import * as constants from "../constants.js";
import * as evacuationViews from "../evacuations/index.js";
import * as types from "../types.js";

type LeavingListener = (server: types.KnownServer) => void;

/**
 * The backend servers of all services, as known from their entries in the platform's store and from
 * their answers. A leaving server becomes available again only after a restart, unless the only sign
 * was that its entry was removed from the store, and the server has written a newer one.
 */
export class ServerDirectory {
  /** The data centres whose servers get nothing new. */
  readonly evacuations: evacuationViews.Evacuations;
  private readonly servers = new Map<string, types.KnownServer>();
  /** End of the grace period of each server whose entry was removed after a store outage. */
  private readonly lapsedUntilMs = new Map<string, number>();
  private readonly leavingListeners = new Set<LeavingListener>();
  /** Names that services have had so far; null if entries of all services count. */
  private serviceNames: Set<string> | null = null;
  /** Entries of services that are not named, by id: of services still to come, or left by another writer. */
  private readonly unnamedEntries = new Map<string, types.ServerEntry>();
  private storeRecoveredAtMs = -Infinity;

  constructor(private readonly clock: clocks.Clock) {
    this.evacuations = new evacuationViews.Evacuations(clock);
  }

  /**
   * Names services of the configuration. From the first call on, entries of others change nothing; entries that came
   * before their service are applied now.
   *
   * @returns what these entries changed
   */
  nameServices(
    names: Iterable<string>,
  ): readonly { readonly entry: types.ServerEntry; readonly effect: types.EntryEffect }[] {
    this.serviceNames = new Set([...(this.serviceNames ?? []), ...names]);
    const named = [...this.unnamedEntries.values()].filter((entry) => this.isNamed(entry));
    return named.map((entry) => ({ entry, effect: this.apply(entry) }));
  }

  /**
   * Applies an entry; ignores older messages and older starts of the same server. An entry that was
   * removed can come back as it was, when the store is restored from a copy.
   *
   * @returns what the entry changed
   */
  apply(entry: types.ServerEntry): types.EntryEffect {
    if (!this.isNamed(entry)) {
      this.unnamedEntries.set(entry.id, entry);
      return types.EntryEffect.UnknownService;
    }
    this.unnamedEntries.delete(entry.id);
    const known = this.servers.get(entry.id);
    if (known !== undefined && isOlder(entry, known.entry)) return types.EntryEffect.Ignored;
    this.lapsedUntilMs.delete(entry.id);
    const isSameStart = known?.entry.bornAtWallMs === entry.bornAtWallMs;
    const isNewer = known !== undefined && entry.sequence > known.entry.sequence;
    // A message that is listed again is no newer; what it states counts from when it first came.
    const receivedAtMs = isSameStart && !isNewer ? known.receivedAtMs : this.clock.nowMs();
    const isBackAfterLapse =
      isSameStart && isNewer && known.leaving === types.LeavingReason.EntryRemoved;
    const isLeavingKept = isSameStart && !isBackAfterLapse;
    this.servers.set(entry.id, {
      entry,
      receivedAtMs,
      leaving: isLeavingKept ? known.leaving : null,
      leavingSinceMs: isLeavingKept ? known.leavingSinceMs : 0,
    });
    this.resolveAddressConflicts(entry);
    if (entry.state === types.ServerState.Draining) {
      this.markLeaving(entry.id, types.LeavingReason.Announced);
    }
    if (!isSameStart) return types.EntryEffect.NewStart;
    return isBackAfterLapse ? types.EntryEffect.Returned : types.EntryEffect.Updated;
  }

  /**
   * Applies the removal of a server's entry, after a grace period if a store outage has just ended.
   */
  remove(serverId: string): void {
    this.unnamedEntries.delete(serverId);
    if (!this.servers.has(serverId)) return;
    const graceEndsAtMs = this.storeRecoveredAtMs + constants.LAPSED_ENTRY_GRACE_MS;
    if (this.clock.nowMs() < graceEndsAtMs) {
      this.lapsedUntilMs.set(serverId, graceEndsAtMs);
      return;
    }
    this.markLeaving(serverId, types.LeavingReason.EntryRemoved);
  }

  /** Applies a complete listing of the store: entries that it does not contain count as removed. */
  retainListed(listedIds: ReadonlySet<string>): void {
    for (const serverId of [...this.servers.keys(), ...this.unnamedEntries.keys()]) {
      if (!listedIds.has(serverId)) this.remove(serverId);
    }
  }

  /** Records the end of a store outage, during which entries of live servers may have lapsed. */
  recordStoreRecovery(): void {
    this.storeRecoveredAtMs = this.clock.nowMs();
  }

  /**
   * Marks a server as leaving and notifies the listeners. If it is marked already, the sign replaces
   * a removed entry, which is the only sign that a newer entry refutes.
   */
  markLeaving(serverId: string, sign: types.LeavingReason): void {
    const known = this.servers.get(serverId);
    if (known?.leaving === types.LeavingReason.EntryRemoved)
      this.servers.set(serverId, { ...known, leaving: sign });
    if (known?.leaving !== null) return;
    const leaving = { ...known, leaving: sign, leavingSinceMs: this.clock.nowMs() };
    this.servers.set(serverId, leaving);
    for (const listener of this.leavingListeners) listener(leaving);
  }

  /**
   * Marks servers as leaving whose lapsed entries did not reappear, and forgets those that departed
   * long ago. Has to be called periodically.
   */
  sweep(): void {
    this.evacuations.sweep();
    const nowMs = this.clock.nowMs();
    for (const [serverId, graceEndsAtMs] of this.lapsedUntilMs) {
      if (nowMs < graceEndsAtMs) continue;
      this.lapsedUntilMs.delete(serverId);
      this.markLeaving(serverId, types.LeavingReason.EntryRemoved);
    }
    for (const [serverId, { leaving, leavingSinceMs, receivedAtMs }] of this.servers) {
      const lastSignAtMs = Math.max(leavingSinceMs, receivedAtMs);
      const isRetentionOver = nowMs - lastSignAtMs > constants.DEPARTED_SERVER_RETENTION_MS;
      if (leaving !== null && isRetentionOver) this.servers.delete(serverId);
    }
  }

  /** Finds a server by id, leaving or not. */
  find(serverId: string): types.KnownServer | undefined {
    return this.servers.get(serverId);
  }

  /** Whether a start of a server is leaving, or is no longer known. */
  isLeaving({ id, bornAtWallMs }: Pick<types.ServerEntry, "id" | "bornAtWallMs">): boolean {
    const known = this.servers.get(id);
    return known?.entry.bornAtWallMs !== bornAtWallMs || known.leaving !== null;
  }

  /** Whether a server may get new work: it is not leaving, and its data centre is not evacuated. */
  acceptsWork({ entry, leaving }: types.KnownServer): boolean {
    return leaving === null && !this.isEvacuated(entry);
  }

  /** Whether the data centre of a server is evacuated. */
  isEvacuated({ dataCentre }: Pick<types.ServerEntry, "dataCentre">): boolean {
    return this.evacuations.isInForce(dataCentre);
  }

  /** Whether a service has servers that could get work, and all of them are in evacuated data centres. */
  isServiceEvacuated(serviceName: string): boolean {
    const present = this.listPresent(serviceName);
    return present.length > 0 && present.every(({ entry }) => this.isEvacuated(entry));
  }

  /** Lists the servers of a service that accept new work. */
  listAvailable(serviceName: string): readonly types.KnownServer[] {
    return this.listPresent(serviceName).filter(({ entry }) => !this.isEvacuated(entry));
  }

  /** Lists all known servers, including leaving ones. */
  listAll(): readonly types.KnownServer[] {
    return [...this.servers.values()];
  }

  /** Registers a listener that is called when a server is marked as leaving. */
  onLeaving(listener: LeavingListener): Disposable {
    this.leavingListeners.add(listener);
    return { [Symbol.dispose]: () => void this.leavingListeners.delete(listener) };
  }

  private isNamed({ serviceName }: types.ServerEntry): boolean {
    return this.serviceNames === null || this.serviceNames.has(serviceName);
  }

  private listPresent(serviceName: string): readonly types.KnownServer[] {
    return [...this.servers.values()].filter(
      ({ entry, leaving }) => leaving === null && entry.serviceName === serviceName,
    );
  }

  /**
   * Marks all but the latest started server of an address as replaced: only one can listen there.
   */
  private resolveAddressConflicts(entry: types.ServerEntry): void {
    for (const { entry: other, leaving } of this.servers.values()) {
      if (leaving !== null || other.id === entry.id) continue;
      if (other.host !== entry.host || other.port !== entry.port) continue;
      const isOtherOlder = other.bornAtWallMs <= entry.bornAtWallMs;
      const replacedId = isOtherOlder ? other.id : entry.id;
      this.markLeaving(replacedId, types.LeavingReason.ReplacedAtAddress);
    }
  }
}

function isOlder(entry: types.ServerEntry, known: types.ServerEntry): boolean {
  if (entry.bornAtWallMs !== known.bornAtWallMs) return entry.bornAtWallMs < known.bornAtWallMs;
  return entry.sequence < known.sequence;
}

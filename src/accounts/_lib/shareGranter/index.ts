import type * as clocks from "../../../_lib/clock/index.js";
import * as catalogue from "../../../catalogue/types.js";
import * as fleet from "../../../fleet/index.js";
import type * as types from "../../types.js";
import * as shareLedger from "../shareLedger/index.js";

/** A former set of live members, and the time at which it changed. */
interface PastMembership {
  readonly live: readonly fleet.VmMember[];
  readonly endedAtMs: number;
}

/** Grants shares of the accounts whose home is this VM. Creates their ledgers on first request. */
export class ShareGranter {
  private readonly ledgers = new Map<string, shareLedger.ShareLedger>();
  private readonly deadSinceMs = new Map<string, number>();
  /** Former sets of live members, latest first; the initial one is empty. */
  private pastMemberships: readonly PastMembership[];
  private currentMembers: readonly fleet.VmMember[];

  constructor(
    private readonly fleetView: fleet.FleetView,
    private readonly catalogueView: catalogue.CatalogueView,
    private readonly clock: clocks.Clock,
    private readonly options: types.AccountLimitOptions,
  ) {
    this.currentMembers = listLiveMembers(fleetView);
    this.pastMemberships = [{ live: [], endedAtMs: clock.nowMs() }];
  }

  /** Number of accounts for which this VM has a ledger as their home. */
  get accountsCount(): number {
    return this.ledgers.size;
  }

  /**
   * Upper bound of what all VMs together may be using of an account; undefined without a ledger.
   */
  committedSum(accountName: string): types.AccountShare | undefined {
    return this.ledgers.get(accountName)?.committedSum();
  }

  /**
   * Grants a VM its share; returns undefined for an unknown account, or for a demand that is not
   * newer than the VM's last one.
   */
  grant(
    accountName: string,
    vmName: string,
    demand: shareLedger.Demand,
  ): types.AccountShare | undefined {
    const account = this.findAccount(accountName);
    if (account === undefined) return undefined;
    this.updateMembers();
    const ledger = this.ledgers.get(accountName) ?? this.createLedger(accountName);
    return ledger.grant(vmName, demand, this.createGrantContext(account, ledger));
  }

  /** Removes expired shares and unneeded ledgers; called at each refresh interval. */
  removeExpired(): void {
    this.updateMembers();
    const nowMs = this.clock.nowMs();
    const reachableVms = this.listReachableVms();
    const knownVms = this.listKnownVms();
    for (const [accountName, ledger] of this.ledgers) {
      ledger.removeExpired({ nowMs, reachableVms });
      ledger.removeUnknownVms(knownVms);
      if (ledger.isEmpty || !this.isHomeIn(this.currentMembers, accountName)) {
        this.ledgers.delete(accountName);
      }
    }
  }

  /**
   * Names of the VMs that may be using a share. Dead VMs count for `deadShareHoldMs`, because
   * they may only be partitioned.
   */
  listKnownVms(): ReadonlySet<string> {
    const oldestMs = this.clock.nowMs() - this.options.deadShareHoldMs;
    const known = this.fleetView
      .members()
      .filter(({ name, state }) => {
        if (state !== fleet.MemberState.Dead) return true;
        return (this.deadSinceMs.get(name) ?? -Infinity) > oldestMs;
      })
      .map((member) => member.name);
    return new Set([this.fleetView.self.name, ...known]);
  }

  /** Records newly dead VMs and changes of the set of live members, as the fleet view has them. */
  updateMembers(): void {
    const nowMs = this.clock.nowMs();
    for (const { name, state } of this.fleetView.members()) {
      if (state !== fleet.MemberState.Dead) this.deadSinceMs.delete(name);
      else if (!this.deadSinceMs.has(name)) this.deadSinceMs.set(name, nowMs);
    }
    const live = listLiveMembers(this.fleetView);
    if (hasSameNames(live, this.currentMembers)) return;
    const oldestMs = nowMs - this.computeWarmUpDurationMs();
    const recent = this.pastMemberships.filter((membership) => membership.endedAtMs > oldestMs);
    this.pastMemberships = [{ live: this.currentMembers, endedAtMs: nowMs }, ...recent];
    this.currentMembers = live;
  }

  private createLedger(accountName: string): shareLedger.ShareLedger {
    const warmUpEndsAtMs = this.computeWarmUpEndMs(accountName);
    const ledger = new shareLedger.ShareLedger(this.options.shareTtlMs, warmUpEndsAtMs);
    this.ledgers.set(accountName, ledger);
    return ledger;
  }

  /**
   * Returns the time by which all VMs that hold a share have reported it to this VM. They do so
   * within a refresh interval after they have detected that this VM became the account's home.
   * Returns -Infinity if this VM is alone or was the home in all recorded memberships, and Infinity
   * if it is not the home.
   */
  private computeWarmUpEndMs(accountName: string): number {
    if (this.listKnownVms().size === 1) return -Infinity;
    if (!this.isHomeIn(this.currentMembers, accountName)) return Infinity;
    const lastOther = this.pastMemberships.find(
      (membership) => !this.isHomeIn(membership.live, accountName),
    );
    return lastOther === undefined
      ? -Infinity
      : lastOther.endedAtMs + this.computeWarmUpDurationMs();
  }

  private computeWarmUpDurationMs(): number {
    const { warmUpMs, warmUpPerDoublingMs } = this.options;
    return warmUpMs + warmUpPerDoublingMs * Math.log2(this.listKnownVms().size);
  }

  private isHomeIn(live: readonly fleet.VmMember[], accountName: string): boolean {
    return selectHome(accountName, live)?.name === this.fleetView.self.name;
  }

  private findAccount(accountName: string): catalogue.ClientAccount | undefined {
    const key = `${catalogue.ItemKind.Account}/${accountName}`;
    const item = this.catalogueView.current().items.get(key)?.item;
    return item?.kind === catalogue.ItemKind.Account ? item : undefined;
  }

  private createGrantContext(
    account: catalogue.ClientAccount,
    ledger: shareLedger.ShareLedger,
  ): shareLedger.GrantContext {
    const nowMs = this.clock.nowMs();
    return {
      limits: account,
      knownVmsCount: this.listKnownVms().size,
      reachableVms: this.listReachableVms(),
      isWarmingUp: nowMs < ledger.warmUpEndsAtMs,
      nowMs,
    };
  }

  private listReachableVms(): ReadonlySet<string> {
    const reachable = this.fleetView
      .members()
      .filter(
        ({ state }) => state === fleet.MemberState.Live || state === fleet.MemberState.Leaving,
      )
      .map((member) => member.name);
    return new Set([this.fleetView.self.name, ...reachable]);
  }
}

/** Selects the VM that grants shares of an account, by rendezvous hashing among the live VMs. */
export function selectAccountHome(
  accountName: string,
  fleetView: fleet.FleetView,
): fleet.VmMember | undefined {
  return selectHome(accountName, listLiveMembers(fleetView));
}

function selectHome(
  accountName: string,
  live: readonly fleet.VmMember[],
): fleet.VmMember | undefined {
  return fleet.selectFirstByRendezvous(`account/${accountName}`, live);
}

function listLiveMembers(fleetView: fleet.FleetView): readonly fleet.VmMember[] {
  return fleetView.members().filter((member) => member.state === fleet.MemberState.Live);
}

function hasSameNames(left: readonly fleet.VmMember[], right: readonly fleet.VmMember[]): boolean {
  const names = new Set(left.map((member) => member.name));
  return left.length === right.length && right.every((member) => names.has(member.name));
}

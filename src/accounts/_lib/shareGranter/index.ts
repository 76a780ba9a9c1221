import type * as clocks from "../../../_lib/clock/index.js";
import * as catalogue from "../../../catalogue/types.js";
import * as fleet from "../../../fleet/index.js";
import type * as types from "../../types.js";
import * as shareLedger from "../shareLedger/index.js";

interface EndedView {
  readonly live: readonly fleet.VmMember[];
  readonly endedAtMs: number;
}

/** The accounts whose home this VM is, as far as anyone has asked for a share of them. */
export class ShareGranter {
  private readonly ledgers = new Map<string, shareLedger.ShareLedger>();
  private readonly deadSinceMs = new Map<string, number>();
  /** Earlier views of the live members, the last one first; the first VM knows none. */
  private endedViews: readonly EndedView[];
  private currentView: readonly fleet.VmMember[];

  constructor(
    private readonly fleetView: fleet.FleetView,
    private readonly catalogueView: catalogue.CatalogueView,
    private readonly clock: clocks.Clock,
    private readonly options: types.AccountLimitOptions,
  ) {
    this.currentView = liveMembers(fleetView);
    this.endedViews = [{ live: [], endedAtMs: clock.nowMs() }];
  }

  /** Accounts that cost this VM memory as their home. */
  get accountsCount(): number {
    return this.ledgers.size;
  }

  /** The most that all VMs together may be using of an account, as its home knows it. */
  committedSum(accountName: string): types.AccountShare | undefined {
    return this.ledgers.get(accountName)?.committedSum();
  }

  /** Grants a VM its share; undefined for an unknown account or an overtaken message. */
  grant(
    accountName: string,
    vmName: string,
    demand: shareLedger.Demand,
  ): types.AccountShare | undefined {
    const account = this.accountOf(accountName);
    if (account === undefined) return undefined;
    this.onMembers();
    const ledger = this.ledgers.get(accountName) ?? this.createLedger(accountName);
    return ledger.grant(vmName, demand, this.contextFor(account, ledger));
  }

  /** Drops what is not needed any more; called at every refresh interval. */
  tidy(): void {
    this.onMembers();
    const nowMs = this.clock.nowMs();
    const reachableVms = this.reachableVms();
    const knownVms = this.knownVms();
    for (const [accountName, ledger] of this.ledgers) {
      ledger.expire({ nowMs, reachableVms });
      ledger.forgetOthers(knownVms);
      if (ledger.isEmpty || !this.isHomeIn(this.currentView, accountName)) {
        this.ledgers.delete(accountName);
      }
    }
  }

  /** VMs that may be using a share: the dead count for a while, as they may only be cut off. */
  knownVms(): ReadonlySet<string> {
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

  /** Takes note of changes among the members. */
  onMembers(): void {
    const nowMs = this.clock.nowMs();
    for (const { name, state } of this.fleetView.members()) {
      if (state !== fleet.MemberState.Dead) this.deadSinceMs.delete(name);
      else if (!this.deadSinceMs.has(name)) this.deadSinceMs.set(name, nowMs);
    }
    const live = liveMembers(this.fleetView);
    if (hasSameNames(live, this.currentView)) return;
    const oldestMs = nowMs - this.warmUpMs();
    const recent = this.endedViews.filter((view) => view.endedAtMs > oldestMs);
    this.endedViews = [{ live: this.currentView, endedAtMs: nowMs }, ...recent];
    this.currentView = live;
  }

  private createLedger(accountName: string): shareLedger.ShareLedger {
    const warmUntilMs = this.warmUntilMs(accountName);
    const ledger = new shareLedger.ShareLedger(this.options.shareTtlMs, warmUntilMs);
    this.ledgers.set(accountName, ledger);
    return ledger;
  }

  /**
   * When everyone who holds a share has asked this VM for it: all ask within a refresh interval
   * after they have learned that this VM became the account's home.
   */
  private warmUntilMs(accountName: string): number {
    if (this.knownVms().size === 1) return -Infinity;
    if (!this.isHomeIn(this.currentView, accountName)) return Infinity;
    const other = this.endedViews.find((view) => !this.isHomeIn(view.live, accountName));
    return other === undefined ? -Infinity : other.endedAtMs + this.warmUpMs();
  }

  private warmUpMs(): number {
    const { warmUpMs, warmUpPerDoublingMs } = this.options;
    return warmUpMs + warmUpPerDoublingMs * Math.log2(this.knownVms().size);
  }

  private isHomeIn(live: readonly fleet.VmMember[], accountName: string): boolean {
    return homeAmong(accountName, live)?.name === this.fleetView.self.name;
  }

  private accountOf(accountName: string): catalogue.ClientAccount | undefined {
    const key = `${catalogue.ItemKind.Account}/${accountName}`;
    const item = this.catalogueView.current().items.get(key)?.item;
    return item?.kind === catalogue.ItemKind.Account ? item : undefined;
  }

  private contextFor(
    account: catalogue.ClientAccount,
    ledger: shareLedger.ShareLedger,
  ): shareLedger.GrantContext {
    const nowMs = this.clock.nowMs();
    return {
      limits: account,
      knownVmsCount: this.knownVms().size,
      reachableVms: this.reachableVms(),
      isWarmingUp: nowMs < ledger.warmUntilMs,
      nowMs,
    };
  }

  private reachableVms(): ReadonlySet<string> {
    const reachable = this.fleetView
      .members()
      .filter(
        ({ state }) => state === fleet.MemberState.Live || state === fleet.MemberState.Leaving,
      )
      .map((member) => member.name);
    return new Set([this.fleetView.self.name, ...reachable]);
  }
}

/** The VM that grants shares of an account: the first by rendezvous hashing among the live ones. */
export function homeOfAccount(
  accountName: string,
  fleetView: fleet.FleetView,
): fleet.VmMember | undefined {
  return homeAmong(accountName, liveMembers(fleetView));
}

function homeAmong(
  accountName: string,
  live: readonly fleet.VmMember[],
): fleet.VmMember | undefined {
  return fleet.firstByRendezvous(`account/${accountName}`, live);
}

function liveMembers(fleetView: fleet.FleetView): readonly fleet.VmMember[] {
  return fleetView.members().filter((member) => member.state === fleet.MemberState.Live);
}

function hasSameNames(left: readonly fleet.VmMember[], right: readonly fleet.VmMember[]): boolean {
  const names = new Set(left.map((member) => member.name));
  return left.length === right.length && right.every((member) => names.has(member.name));
}

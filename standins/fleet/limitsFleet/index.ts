import * as virtualClock from "../../../src/_lib/virtualClock/index.js";
import * as accounts from "../../../src/accounts/index.js";
import * as catalogue from "../../../src/catalogue/types.js";
import * as fleet from "../../../src/fleet/types.js";
import * as catalogueView from "../../catalogue/view/index.js";
import * as peerHub from "../../peers/hub/index.js";
import * as counters from "../../telemetry/counters/index.js";
import * as fleetView from "../view/index.js";

const DATA_CENTRE = "riga-a";

/** One VM of a LimitsFleet. */
export interface LimitsVm {
  readonly limits: accounts.AccountLimits;
  readonly view: fleetView.FakeFleetView;
}

/** Account limits of several VMs on one virtual clock and an in-process peer network. */
export class LimitsFleet {
  readonly clock = new virtualClock.VirtualClock();
  readonly hub = new peerHub.PeerHub(this.clock);
  readonly vms = new Map<string, LimitsVm>();
  private readonly names: readonly string[];

  constructor(
    vmsCount: number,
    private readonly account: catalogue.ClientAccount,
  ) {
    this.names = Array.from({ length: vmsCount }, (_, index) => `vm-${index + 1}`);
    this.hub.latencyMs = 2;
    for (const name of this.names) this.start(name);
  }

  /** Returns a VM by name; throws if it is unknown. */
  vm(name: string): LimitsVm {
    const found = this.vms.get(name);
    if (found === undefined) throw new Error(`no VM is named ${name}`);
    return found;
  }

  /** Partitions groups of VMs from each other; each VM sees those outside its group in the given state. */
  partition(groups: readonly (readonly string[])[], state = fleet.MemberState.Suspect): void {
    for (const name of this.names) {
      const group = groups.find((names) => names.includes(name)) ?? [];
      const others = this.names.filter((other) => !group.includes(other));
      for (const other of others) this.hub.cut(name, other);
      for (const other of others) this.vm(name).view.setState(other, state);
    }
  }

  /** Ends all partitions; every VM sees every other as live. */
  heal(): void {
    for (const left of this.names) {
      for (const right of this.names) this.hub.heal(left, right);
      for (const right of this.names) {
        this.vm(left).view.setState(right, fleet.MemberState.Live);
      }
    }
  }

  /** Sums one limit over the shares that the given VMs hold now. */
  sumShares(field: keyof accounts.AccountShare, names: readonly string[] = this.names): number {
    return names.reduce((sum, name) => {
      return sum + (this.vm(name).limits.heldShare(this.account.name)?.[field] ?? 0);
    }, 0);
  }

  /** Requests admission at a VM at a constant rate, releasing each permit at once; returns the number admitted. */
  async requestAtRate(
    name: string,
    requestsPerSecond: number,
    durationMs: number,
  ): Promise<number> {
    const MS_PER_SECOND = 1_000;
    const intervalMs = MS_PER_SECOND / requestsPerSecond;
    const endMs = this.clock.nowMs() + durationMs;
    let admittedCount = 0;
    while (this.clock.nowMs() < endMs) {
      if (this.tryAdmission(name)) admittedCount += 1;
      await this.clock.sleep(intervalMs);
    }
    return admittedCount;
  }

  /** Requests admission once and releases the permit; returns whether it was admitted. */
  tryAdmission(name: string): boolean {
    const permit = this.vm(name).limits.admit(this.account);
    if (permit.isErr()) return false;
    permit.value[Symbol.dispose]();
    return true;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const { limits } of this.vms.values()) await limits[Symbol.asyncDispose]();
  }

  private start(name: string): void {
    const view = new fleetView.FakeFleetView(
      fleetView.createVmIdentity(name, DATA_CENTRE),
      this.names.map((other) => fleetView.createVmIdentity(other, DATA_CENTRE)),
    );
    const limits = new accounts.AccountLimits(
      accounts.DEFAULT_ACCOUNT_LIMIT_OPTIONS,
      this.hub.join(name),
      view,
      new catalogueView.FakeCatalogueView([this.account]),
      this.clock,
      new counters.CounterModel(),
    );
    limits.start();
    this.vms.set(name, { limits, view });
  }
}

/** Creates a client account with the given limits. */
export function createAccount(
  name: string,
  limits: accounts.AccountShare,
): catalogue.ClientAccount {
  return { kind: catalogue.ItemKind.Account, name, owner: "owner", keyHashes: [], ...limits };
}

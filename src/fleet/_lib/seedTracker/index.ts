import * as platform from "../../../controlPlane/types.js";
import * as constants from "../../constants.js";

interface Seed {
  readonly vm: platform.ListedVm;
  nextAttemptAtMs: number;
  backoffMs: number;
}

/**
 * Tracks VMs that the platform lists and that are not members yet. Probes of each back off
 * exponentially, since the list also names backend servers, which never answer.
 */
export class SeedTracker {
  private readonly seeds = new Map<string, Seed>();
  private readonly listedLiveNames = new Set<string>();

  constructor(private readonly minBackoffMs: number) {}

  /**
   * Applies a new version of the list.
   *
   * @returns VMs that were listed as live at the same address before and are listed as leaving now;
   * others are excluded, since the entry may refer to an earlier VM of the same name
   */
  applyList(listed: readonly platform.ListedVm[], nowMs: number): readonly platform.ListedVm[] {
    for (const vm of listed) this.track(vm, nowMs);
    const names = new Set(listed.map((vm) => vm.name));
    for (const name of this.seeds.keys()) if (!names.has(name)) this.seeds.delete(name);
    const leaving = listed.filter((vm) => vm.listing === platform.VmListing.Leaving);
    const newlyLeaving = leaving.filter((vm) => this.listedLiveNames.has(vm.name));
    for (const vm of leaving) this.listedLiveNames.delete(vm.name);
    for (const vm of listed) {
      if (vm.listing === platform.VmListing.Live) this.listedLiveNames.add(vm.name);
    }
    return newlyLeaving;
  }

  /** Returns the listed VMs whose probe is due, and schedules the next probe of each. */
  takeDueSeeds(isMember: (name: string) => boolean, nowMs: number): readonly platform.ListedVm[] {
    const due = [...this.seeds.values()]
      .filter((seed) => !isMember(seed.vm.name) && seed.nextAttemptAtMs <= nowMs)
      .slice(0, constants.SEED_PROBES_COUNT);
    for (const seed of due) {
      seed.nextAttemptAtMs = nowMs + seed.backoffMs;
      seed.backoffMs = Math.min(constants.MAX_SEED_BACKOFF_MS, seed.backoffMs * 2);
    }
    return due.map((seed) => seed.vm);
  }

  private track(vm: platform.ListedVm, nowMs: number): void {
    const known = this.seeds.get(vm.name);
    if (known?.vm.address === vm.address) return;
    this.listedLiveNames.delete(vm.name);
    this.seeds.set(vm.name, { vm, nextAttemptAtMs: nowMs, backoffMs: this.minBackoffMs });
  }
}

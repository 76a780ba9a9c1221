import type * as clocks from "../../../src/_lib/clock/index.js";
import type * as platform from "../../../src/controlPlane/types.js";

/** One state of the list, valid from `atMs` on. */
interface Version {
  readonly atMs: number;
  readonly vms: readonly platform.ListedVm[];
}

/** The platform's VM list, which readers see with a configurable lag. */
export class VmListModel {
  /** Age of the list that readers see, in milliseconds. */
  lagMs = 0;
  private versions: Version[] = [];

  constructor(private readonly clock: clocks.Clock) {}

  /** Adds a VM or replaces its entry. */
  put(vm: platform.ListedVm): void {
    this.change([...this.current().filter((known) => known.name !== vm.name), vm]);
  }

  /** Removes a VM from the list. */
  remove(name: string): void {
    this.change(this.current().filter((known) => known.name !== name));
  }

  /** Returns the list as it was `lagMs` ago, empty if there was none. */
  visible(): readonly platform.ListedVm[] {
    const visibleMs = this.clock.nowMs() - this.lagMs;
    return this.versions.findLast((version) => version.atMs <= visibleMs)?.vms ?? [];
  }

  private current(): readonly platform.ListedVm[] {
    return this.versions.at(-1)?.vms ?? [];
  }

  private change(vms: readonly platform.ListedVm[]): void {
    this.versions.push({ atMs: this.clock.nowMs(), vms });
  }
}

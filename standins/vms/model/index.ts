import type * as clocks from "../../../src/_lib/clock/index.js";
import type * as platform from "../../../src/controlPlane/types.js";

interface Version {
  readonly atMs: number;
  readonly vms: readonly platform.ListedVm[];
}

/** A list of VMs whose readers see it as it was some time ago. */
export class VmListModel {
  /** How old the list is that readers see. */
  lagMs = 0;
  private versions: Version[] = [];

  constructor(private readonly clock: clocks.Clock) {}

  /** Adds a VM or changes what is said about it. */
  put(vm: platform.ListedVm): void {
    this.change([...this.current().filter((known) => known.name !== vm.name), vm]);
  }

  remove(name: string): void {
    this.change(this.current().filter((known) => known.name !== name));
  }

  /** The list as it was before the lag. */
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

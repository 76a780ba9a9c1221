interface PublishedVersion {
  readonly version: number;
  readonly confirmedAtMs: number;
}

/** The parts of a VM that the watch reads. */
export interface WatchedVm {
  readonly name: string;
  /** Version in force. */
  readonly version: number;
  readonly view: { readonly configurationAgeMs: number };
}

/**
 * Checks that VMs do not underestimate the ages of their views: a view that lacks a version was last confirmed before
 * that version was.
 */
export class ViewAgeWatch {
  private readonly published: PublishedVersion[] = [];

  /** Records that the store has confirmed a version. */
  publish(version: number, confirmedAtMs: number): void {
    this.published.push({ version, confirmedAtMs });
  }

  /** Returns a finding if the age of the VM's view is underestimated. */
  check(vm: WatchedVm, nowMs: number): readonly string[] {
    const missing = this.published.find(({ version }) => version > vm.version);
    if (missing === undefined) return [];
    const { configurationAgeMs } = vm.view;
    const leastAgeMs = nowMs - missing.confirmedAtMs;
    if (configurationAgeMs >= leastAgeMs) return [];
    const believed = `${vm.name} believes ${vm.version} to be ${Math.round(configurationAgeMs)} ms old`;
    return [`${believed}, ${missing.version} came ${leastAgeMs} ms ago (at ${nowMs} ms)`];
  }
}

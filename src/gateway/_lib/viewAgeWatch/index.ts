interface PublishedVersion {
  readonly version: number;
  readonly confirmedAtMs: number;
}

/** What the watch looks at in a VM. */
export interface WatchedVm {
  readonly name: string;
  /** Version in force. */
  readonly version: number;
  readonly view: { readonly configurationAgeMs: number };
}

/** Checks that no VM takes its view for confirmed after a version that the view lacks was confirmed. */
export class ViewAgeWatch {
  private readonly published: PublishedVersion[] = [];

  /** Records that the store has confirmed a version. */
  publish(version: number, confirmedAtMs: number): void {
    this.published.push({ version, confirmedAtMs });
  }

  /** Returns what the VM wrongly believes, if anything. */
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

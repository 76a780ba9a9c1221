import * as neverthrow from "neverthrow";

import type * as stepError from "../../_lib/stepError/index.js";
import * as platform from "../../controlPlane/types.js";
import type * as settings from "../../settings/index.js";

type SeedPeer = settings.Settings["fleet"]["seedPeers"][number];

/** The platform's list of VMs, preceded by those seed peers of the settings that it lacks. */
export class SeededVmList implements platform.VmList {
  private readonly listeners = new Set<(platformList: readonly platform.ListedVm[]) => void>();

  constructor(
    private readonly seedPeers: readonly SeedPeer[],
    private readonly platformVmList: platform.VmList,
  ) {}

  /** Registers a listener that is called with each list that the platform returns. */
  onListed(listener: (listed: readonly platform.ListedVm[]) => void): void {
    this.listeners.add(listener);
  }

  /**
   * Returns the seed peers that the platform's list lacks, followed by that list. If the platform
   * does not answer, returns the seed peers alone, so that a fleet can start without it, or the
   * platform's error if there are no seed peers.
   */
  async list(): Promise<neverthrow.Result<readonly platform.ListedVm[], stepError.StepError>> {
    const seeds = this.seedPeers.map(toListedVm);
    const answer = await this.platformVmList.list();
    if (answer.isErr()) return seeds.length > 0 ? neverthrow.ok(seeds) : answer;
    for (const listener of this.listeners) listener(answer.value);
    const names = new Set(answer.value.map((vm) => vm.name));
    return neverthrow.ok([...seeds.filter((seed) => !names.has(seed.name)), ...answer.value]);
  }
}

function toListedVm(seed: SeedPeer): platform.ListedVm {
  return {
    name: seed.name,
    dataCentre: seed.dataCentre,
    address: `${seed.peerAddress}:${seed.heartbeatPort}`,
    listing: platform.VmListing.Live,
  };
}

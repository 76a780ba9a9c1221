import * as neverthrow from "neverthrow";

import type * as stepError from "../../_lib/stepError/index.js";
import * as platform from "../../controlPlane/types.js";
import type * as settings from "../../settings/index.js";

type SeedPeer = settings.Settings["fleet"]["seedPeers"][number];

/** The platform's list of VMs, preceded by the seed peers of the settings that it lacks. */
export class SeededVmList implements platform.VmList {
  private readonly listeners = new Set<(platformList: readonly platform.ListedVm[]) => void>();

  constructor(
    private readonly seedPeers: readonly SeedPeer[],
    private readonly listed: platform.VmList,
  ) {}

  /** Registers a listener that is called with each list that the platform returns. */
  onListed(listener: (listed: readonly platform.ListedVm[]) => void): void {
    this.listeners.add(listener);
  }

  /**
   * Returns the platform's list and the missing seed peers. If the platform does not answer, returns
   * the seed peers alone, so that a fleet can start without it; without seed peers, its error.
   */
  async list(): Promise<neverthrow.Result<readonly platform.ListedVm[], stepError.StepError>> {
    const seeds = this.seedPeers.map(toListedVm);
    const answer = await this.listed.list();
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

import * as neverthrow from "neverthrow";

import type * as stepError from "../../_lib/stepError/index.js";
import * as platform from "../../controlPlane/types.js";
import type * as settings from "../../settings/index.js";

type SeedPeer = settings.Settings["fleet"]["seedPeers"][number];

/** The platform's list, with the VMs that the settings name in front of it. */
export class SeededVmList implements platform.VmList {
  private readonly listeners = new Set<(listed: readonly platform.ListedVm[]) => void>();

  constructor(
    private readonly seedPeers: readonly SeedPeer[],
    private readonly listed: platform.VmList,
  ) {}

  /** Called with each list that the platform gives. */
  onListed(listener: (listed: readonly platform.ListedVm[]) => void): void {
    this.listeners.add(listener);
  }

  /** The seeds alone where the platform does not answer, so that a fleet starts without it. */
  async list(): Promise<neverthrow.Result<readonly platform.ListedVm[], stepError.StepError>> {
    const seeds = this.seedPeers.map(listedSeed);
    const answer = await this.listed.list();
    if (answer.isErr()) return seeds.length > 0 ? neverthrow.ok(seeds) : answer;
    for (const listener of this.listeners) listener(answer.value);
    const names = new Set(answer.value.map((vm) => vm.name));
    return neverthrow.ok([...seeds.filter((seed) => !names.has(seed.name)), ...answer.value]);
  }
}

function listedSeed(seed: SeedPeer): platform.ListedVm {
  return {
    name: seed.name,
    dataCentre: seed.dataCentre,
    address: `${seed.peerAddress}:${seed.heartbeatPort}`,
    listing: platform.VmListing.Live,
  };
}

import * as timers from "node:timers/promises";

import * as names from "../../../platform/names/index.js";
import type * as randoms from "../../../src/_lib/random/index.js";
import type * as gatewayFleets from "../../../standins/platform/gatewayFleet/index.js";
import type * as evacuationChecks from "../evacuationCheck/index.js";

const DATA_CENTRES = ["dc-a", "dc-b"] as const;

/** Evacuates data centres of a soak's fleet, as operators do: one at a time, so that work can go elsewhere. */
export class SoakEvacuations {
  private latest: { readonly dataCentre: string; readonly isEvacuated: boolean } | null = null;

  constructor(
    private readonly platform: gatewayFleets.GatewayFleet,
    private readonly check: evacuationChecks.EvacuationCheck,
  ) {}

  /** Places a new server: the servers of each service alternate between the data centres. */
  locate(serverId: string, serversCount: number): void {
    const dataCentre = DATA_CENTRES[serversCount % DATA_CENTRES.length] ?? DATA_CENTRES[0];
    this.platform.dataCentres.set(serverId, dataCentre);
  }

  /** The data centre of a server. */
  dataCentreOf(serverId: string): string {
    return this.platform.dataCentres.get(serverId) ?? DATA_CENTRES[0];
  }

  /** Evacuates a data centre for a while, and takes it back. */
  async hold(random: randoms.RandomSource, durationMs: number): Promise<void> {
    if (this.latest?.isEvacuated === true) return;
    const dataCentre = DATA_CENTRES[random.next() < 0.5 ? 0 : 1];
    this.order(dataCentre, true);
    await timers.setTimeout(durationMs);
    this.order(dataCentre, false);
  }

  /** Writes the latest order again, which a restore may have lost. */
  rewrite(): void {
    if (this.latest !== null) this.write(this.latest);
    this.check.recordRewrite();
  }

  private order(dataCentre: string, isEvacuated: boolean): void {
    this.latest = { dataCentre, isEvacuated };
    this.write(this.latest);
    this.check.recordOrder(dataCentre, isEvacuated);
  }

  private write({ dataCentre, isEvacuated }: NonNullable<SoakEvacuations["latest"]>): void {
    const key = `${names.EVACUATION_KEY_PREFIX}${dataCentre}`;
    this.platform.store.put(names.TOPIC_NAMES.configuration, key, isEvacuated ? {} : null);
  }
}

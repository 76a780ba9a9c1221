import tap, { type Test } from "tap";

import * as fleetDrills from "../_lib/fleetDrill/index.js";

const FLEETS: readonly fleetDrills.DrillOptions[] = [
  { dataCentresCount: 3, vmsPerDataCentre: 10, serversCount: 12 },
  { dataCentresCount: 3, vmsPerDataCentre: 30, serversCount: 12 },
];

type Play = (drill: fleetDrills.FleetDrill) => Promise<void>;

/** Plays a drill on a small and a large fleet, and expects that nothing was violated. */
function drill(title: string, play: Play): void {
  for (const options of FLEETS) {
    const vmsCount = options.dataCentresCount * options.vmsPerDataCentre;
    tap.test(`${vmsCount} VMs: ${title}`, (t) => expectNoViolation(t, options, play));
  }
}

async function expectNoViolation(
  t: Test,
  options: fleetDrills.DrillOptions,
  play: Play,
): Promise<void> {
  const fleet = new fleetDrills.FleetDrill(options);
  await fleet.start();
  await play(fleet);
  await fleet.finish();
  fleet.stop();
  t.same(fleet.findings.slice(0, 3), []);
}

drill("an evacuation is in force in time, and ends in time", async (fleet) => {
  fleet.fleet.hub.lossRatio = 0.02;
  fleet.orderEvacuation("dc-1", true);
  await fleet.runForMs(12_000);
  fleet.orderEvacuation("dc-1", false);
  await fleet.runForMs(6_000);
});

drill("an evacuation that the restored store lacks for a while stays in force", async (fleet) => {
  await fleet.runForMs(3_000);
  fleet.orderEvacuation("dc-1", true);
  await fleet.runForMs(4_000);
  fleet.interruptStore(500, 5_000);
  await fleet.runForMs(9_000);
});

drill("an evacuation that only the restored store still has does not return", async (fleet) => {
  fleet.orderEvacuation("dc-1", true);
  await fleet.runForMs(6_000);
  fleet.orderEvacuation("dc-1", false);
  await fleet.runForMs(4_000);
  fleet.interruptStore(500, 6_000);
  await fleet.runForMs(9_000);
});

drill("VMs that restart during an evacuation follow it", async (fleet) => {
  fleet.orderEvacuation("dc-1", true);
  await fleet.runForMs(3_000);
  fleet.restart(fleet.vmNames.filter((_, index) => index % 3 > 0));
  await fleet.runForMs(9_000);
  fleet.restart(fleet.vmNames);
  await fleet.runForMs(9_000);
});

drill("VMs cut off from the store or in a cut data centre learn of it in time", async (fleet) => {
  fleet.fleet.storeless.add("vm-dc-0-5").add("vm-dc-2-0");
  fleet.partitionDataCentres(["dc-2"], 12_000);
  await fleet.runForMs(1_000);
  fleet.orderEvacuation("dc-1", true);
  await fleet.runForMs(8_000);
});

drill("an evacuation after an outage of the store is in force in time", async (fleet) => {
  fleet.interruptStore(4_000, null);
  await fleet.runForMs(4_100);
  fleet.orderEvacuation("dc-0", true);
  await fleet.runForMs(8_000);
});

import tap from "tap";

import * as fleetDrills from "../_lib/fleetDrill/index.js";

const FLEETS: readonly fleetDrills.DrillOptions[] = [
  { dataCentresCount: 3, vmsPerDataCentre: 10, serversCount: 12 },
  { dataCentresCount: 4, vmsPerDataCentre: 22, serversCount: 38 },
];

/** Starts a fleet, plays a drill on it, and returns what was violated. */
async function findViolations(
  options: fleetDrills.DrillOptions,
  play: (drill: fleetDrills.FleetDrill) => Promise<void>,
): Promise<readonly string[]> {
  const drill = new fleetDrills.FleetDrill(options);
  await drill.start();
  await play(drill);
  await drill.finish();
  drill.stop();
  return drill.findings.slice(0, 3);
}

for (const options of FLEETS) {
  const vmsCount = options.dataCentresCount * options.vmsPerDataCentre;

  tap.test(`${vmsCount} VMs: a VM that becomes the first reader reads at once`, async (t) => {
    const findings = await findViolations(options, async (drill) => {
      drill.interruptStore(3_000, null);
      await drill.runForMs(500);
      drill.partitionDataCentres(["dc-1"], 9_000);
      await drill.runForMs(5_000);
      drill.publish();
      await drill.runForMs(4_000);
    });
    t.same(findings, []);
  });

  tap.test(
    `${vmsCount} VMs: a change after an outage of the store is in force in time`,
    async (t) => {
      const findings = await findViolations(options, async (drill) => {
        drill.interruptStore(4_000, null);
        await drill.runForMs(10_000);
        drill.publish();
        await drill.runForMs(6_000);
        drill.publish();
      });
      t.same(findings, []);
    },
  );

  tap.test(`${vmsCount} VMs: a VM cut off from the others alone reads the store`, async (t) => {
    const findings = await findViolations(options, async (drill) => {
      await drill.runForMs(2_000);
      drill.cutFromPeers(drill.vmNames.slice(-2), 8_000);
      await drill.runForMs(100);
      drill.publish();
      await drill.runForMs(5_000);
      drill.publish();
    });
    t.same(findings, []);
  });

  tap.test(
    `${vmsCount} VMs: a server that said it leaves gets no work after a restore`,
    async (t) => {
      const findings = await findViolations(options, async (drill) => {
        drill.fleet.hub.lossRatio = 0.02;
        await drill.runForMs(4_000);
        drill.leave("server-1", 1_500);
        await drill.runForMs(3_000);
        drill.interruptStore(1_000, 4_050);
        await drill.runForMs(8_000);
      });
      t.same(findings, []);
    },
  );
}

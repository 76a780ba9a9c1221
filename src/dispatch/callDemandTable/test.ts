import tap from "tap";

import * as virtualClocks from "../../_lib/virtualClock/index.js";
import * as constants from "../constants.js";
import * as dispatch from "../index.js";

const RATES = { servedPerSecond: 8, refusedPerSecond: 2, otherPerSecond: 0 };

function report(serviceName: string): dispatch.CallDemandReport {
  return { ...RATES, serviceName, byAccount: new Map([["acme", 4]]) };
}

// Guards against a process over its memory, as messages may come from any process.
tap.test("reports of other VMs have a largest number, and end with their time", async (t) => {
  const clock = new virtualClocks.VirtualClock();
  const table = new dispatch.CallDemandTable(clock);
  table.put("vm-2", report("s"));
  for (let index = 0; index < 20_000; index += 1) table.put("vm-3", report(`service-${index}`));
  t.ok(table.peerReports.count <= 500, `${table.peerReports.count} reports`);
  t.equal(table.peerReports.turnedAwayCount, 19_501);
  table.put("vm-4", report("s"));
  t.equal(table.computeTotal("s").servedPerSecond, 16, "those of the other VMs are kept");
  await clock.runForMs(constants.CALL_DEMAND_RETENTION_MS + 1);
  t.equal(table.computeTotal("s").servedPerSecond, 0);
  table.put("vm-2", report("s"));
  t.equal(table.peerReports.count, 1, "those whose time is over are dropped");
  t.equal(table.computeTotal("s").servedPerSecond, 8);
});

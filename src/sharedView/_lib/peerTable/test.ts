import tap from "tap";

import * as virtualClocks from "../../../_lib/virtualClock/index.js";
import * as constants from "../../constants.js";
import * as peerTables from "./index.js";

const SELF = {
  ...{ vmName: "vm-0", host: "10.0.0.1", port: 1, dataCentre: "dc-a", coresCount: 4 },
  startedAtWallMs: 0,
};

const OTHER = { vmName: "vm-1", host: "10.0.0.2", port: 1 };

/** Interval at which the names in the store are read again. */
const REFRESH_INTERVAL_MS = 30_000;

// Guards against parts of a fleet that forget each other after a while, each of which then has all places.
tap.test("a VM that the store still lists counts at all times, silent or not", async (t) => {
  const clock = new virtualClocks.VirtualClock();
  const table = new peerTables.PeerTable(clock, SELF);
  let absentMs = 0;
  let refreshAtMs = 0;
  while (clock.nowMs() < 10 * constants.PEER_RETENTION_MS) {
    if (clock.nowMs() >= refreshAtMs) {
      table.addPeerAddress(OTHER);
      refreshAtMs += REFRESH_INTERVAL_MS;
    }
    table.markSilentPeers(false);
    if (table.orderVms("s0").length === 1) absentMs += 250;
    await clock.runForMs(250);
  }
  t.equal(absentMs, 0, `absent for ${absentMs} of ${clock.nowMs()} ms`);
});

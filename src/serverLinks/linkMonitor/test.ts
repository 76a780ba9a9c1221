import tap from "tap";

import * as virtualClocks from "../../_lib/virtualClock/index.js";
import * as constants from "../constants.js";
import { LinkState } from "../types.js";
import * as linkMonitors from "./index.js";

const SERVERS_COUNT = 5;

function setUp(): {
  readonly clock: virtualClocks.VirtualClock;
  readonly monitor: linkMonitors.LinkMonitor;
} {
  const clock = new virtualClocks.VirtualClock();
  return { clock, monitor: new linkMonitors.LinkMonitor(clock) };
}

tap.test("peers are asked once two servers cannot be connected to", async (t) => {
  const { monitor } = setUp();
  monitor.recordFailed("s1");
  monitor.recordFailed("s1");
  t.notOk(monitor.shouldAskPeers(SERVERS_COUNT), "one server may have ended");
  monitor.recordFailed("s2");
  t.ok(monitor.shouldAskPeers(SERVERS_COUNT));
  monitor.recordConnected();
  t.notOk(monitor.shouldAskPeers(SERVERS_COUNT), "a link works");
});

tap.test("peers are asked about the only server", async (t) => {
  const { monitor } = setUp();
  monitor.recordFailed("s1");
  t.ok(monitor.shouldAskPeers(1));
});

tap.test("failed connections alone are no cut, as all servers may have ended", async (t) => {
  const { clock, monitor } = setUp();
  for (const id of ["s1", "s2", "s3"]) monitor.recordFailed(id);
  monitor.recordNoTunnel();
  t.notOk(monitor.isCutOff);
  t.notOk(monitor.shouldAskPeers(SERVERS_COUNT), "the peers reach none either");
  await clock.runForMs(constants.MIN_TUNNEL_RETRY_DELAY_MS);
  t.ok(monitor.shouldAskPeers(SERVERS_COUNT), "they are asked again later");
});

tap.test("a cut lasts from a peer's success to one of this VM's own", async (t) => {
  const { clock, monitor } = setUp();
  monitor.recordFailed("s1");
  t.ok(monitor.recordTunnel());
  t.notOk(monitor.recordTunnel(), "it is known");
  await clock.runForMs(700);
  t.equal(monitor.cutOffMs, 700);
  t.ok(monitor.recordConnected());
  t.notOk(monitor.isCutOff);
  t.notOk(monitor.recordConnected(), "it is over");
});

tap.test("what a VM says of its links comes from what it saw of them lately", async (t) => {
  const { clock, monitor } = setUp();
  t.equal(monitor.linkState(SERVERS_COUNT), LinkState.Unknown, "nothing was tried");
  monitor.recordConnected();
  t.equal(monitor.linkState(SERVERS_COUNT), LinkState.Reaches);
  monitor.recordFailed("s1");
  t.equal(monitor.linkState(SERVERS_COUNT), LinkState.Reaches, "one server may have ended");
  monitor.recordFailed("s2");
  t.equal(monitor.linkState(SERVERS_COUNT), LinkState.Failing);
  t.ok(monitor.hasFailedLately("s1"));
  t.notOk(monitor.hasFailedLately("s3"));
  await clock.runForMs(constants.LINK_EVIDENCE_LIFETIME_MS + 1);
  t.equal(monitor.linkState(SERVERS_COUNT), LinkState.Unknown, "that was long ago");
  t.notOk(monitor.hasFailedLately("s1"));
});

tap.test("a VM that knows no server does not take that for failing links", async (t) => {
  const { monitor } = setUp();
  t.equal(monitor.linkState(0), LinkState.Unknown);
  t.notOk(monitor.shouldAskPeers(0));
});

tap.test("peers that reach no server either are asked ever more rarely", async (t) => {
  const { clock, monitor } = setUp();
  for (const id of ["s1", "s2"]) monitor.recordFailed(id);
  const delaysMs: number[] = [];
  for (let index = 0; index < 4; index += 1) {
    monitor.recordNoTunnel();
    const startedAtMs = clock.nowMs();
    while (!monitor.shouldAskPeers(SERVERS_COUNT)) await clock.runForMs(10);
    delaysMs.push(clock.nowMs() - startedAtMs);
  }
  t.same(delaysMs, [250, 500, 1_000, 1_000]);
});

tap.test("a server that has refused is told from one that has not answered", async (t) => {
  const { clock, monitor } = setUp();
  monitor.recordFailed("s1", true);
  monitor.recordFailed("s2");
  t.ok(monitor.hasBeenRefusedLately("s1"));
  t.notOk(monitor.hasBeenRefusedLately("s2"));
  await clock.runForMs(constants.LINK_EVIDENCE_LIFETIME_MS + 1);
  t.notOk(monitor.hasBeenRefusedLately("s1"), "it may have come back");
});

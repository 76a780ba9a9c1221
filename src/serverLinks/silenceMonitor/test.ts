import tap from "tap";

import * as virtualClocks from "../../_lib/virtualClock/index.js";
import * as constants from "../constants.js";
import * as silenceMonitors from "./index.js";

const SERVERS_COUNT = 5;

function setUp(): {
  readonly clock: virtualClocks.VirtualClock;
  readonly monitor: silenceMonitors.SilenceMonitor;
} {
  const clock = new virtualClocks.VirtualClock();
  return { clock, monitor: new silenceMonitors.SilenceMonitor(clock) };
}

tap.test("silence is shown by a peer's answer from a server that is silent here", async (t) => {
  const { clock, monitor } = setUp();
  monitor.watch("s1");
  await clock.runForMs(constants.SILENCE_TIMEOUT_MS);
  t.notOk(monitor.isSuspected(SERVERS_COUNT), "one server may be slow");
  monitor.watch("s2");
  await clock.runForMs(constants.SILENCE_TIMEOUT_MS);
  t.ok(monitor.isSuspected(SERVERS_COUNT));
  t.notOk(monitor.isSilent, "they may be silent towards all");
  t.notOk(monitor.recordBytesThroughPeer("s3", SERVERS_COUNT), "another server shows nothing");
  t.ok(monitor.recordBytesThroughPeer("s1", SERVERS_COUNT));
  t.ok(monitor.isSilent);
  t.notOk(monitor.recordBytesThroughPeer("s2", SERVERS_COUNT), "it is known");
});

tap.test("slow servers are not taken for silent ones while another answers", async (t) => {
  const { clock, monitor } = setUp();
  monitor.watch("s1");
  monitor.watch("s2");
  await clock.runForMs(constants.SILENCE_TIMEOUT_MS);
  monitor.watch("s3").recordBytes();
  t.notOk(monitor.isSuspected(SERVERS_COUNT));
});

tap.test("requests that have ended show nothing", async (t) => {
  const { clock, monitor } = setUp();
  const watches = [monitor.watch("s1"), monitor.watch("s2")];
  await clock.runForMs(constants.SILENCE_TIMEOUT_MS);
  for (const watch of watches) watch[Symbol.dispose]();
  t.notOk(monitor.isSuspected(SERVERS_COUNT));
});

tap.test("a trial a second finds the end of the silence", async (t) => {
  const { clock, monitor } = setUp();
  monitor.watch("s1");
  await clock.runForMs(constants.SILENCE_TIMEOUT_MS);
  monitor.recordBytesThroughPeer("s1", 1);
  t.notOk(monitor.takeTrial());
  await clock.runForMs(constants.SILENCE_TRIAL_INTERVAL_MS);
  t.ok(monitor.takeTrial());
  t.notOk(monitor.takeTrial(), "one at a time");
  t.ok(monitor.isSilent);
  monitor.watch("s1").recordBytes();
  t.notOk(monitor.isSilent);
});

tap.test("without a trial the belief lapses", async (t) => {
  const { clock, monitor } = setUp();
  monitor.watch("s1");
  await clock.runForMs(constants.SILENCE_TIMEOUT_MS);
  monitor.recordBytesThroughPeer("s1", 1);
  await clock.runForMs(constants.SILENCE_BELIEF_LIFETIME_MS);
  t.notOk(monitor.isSilent);
});

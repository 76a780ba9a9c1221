import tap, { type Test } from "tap";

import * as suspectArchives from "../../../standins/suspectArchive/index.js";
import * as virtualClocks from "../../_lib/virtualClock/index.js";
import * as diagnostics from "../../diagnostics/index.js";
import * as constants from "../constants.js";
import * as crashMonitors from "./index.js";
import * as types from "../types.js";

const SERVER = { id: "e1", bornAtWallMs: 1, serviceName: "s", host: "10.0.0.1", port: 80 };

const WORK: types.Work = {
  requestId: "r1",
  suspects: [{ kind: types.SuspectKind.PromptPart, key: "p1" }],
};

interface Options {
  readonly archive?: suspectArchives.MemoryArchive;
  readonly state?: types.ListenerState;
  readonly isLeaving?: boolean;
}

function createMonitor({
  state = types.ListenerState.Refuses,
  isLeaving = false,
  archive = new suspectArchives.MemoryArchive(),
}: Options = {}): {
  readonly clock: virtualClocks.VirtualClock;
  readonly monitor: crashMonitors.CrashMonitor;
  readonly lines: diagnostics.LogFields[];
} {
  const clock = new virtualClocks.VirtualClock();
  const lines: diagnostics.LogFields[] = [];
  const log: diagnostics.DecisionLog = {
    record: (_importance, event, fields) => {
      if (event === diagnostics.LogEvent.ServerEnded) lines.push(fields);
    },
  };
  const monitor = new crashMonitors.CrashMonitor({
    clock,
    log,
    vmName: "vm-1",
    announce: () => undefined,
    archive,
    isEndExpected: () => isLeaving,
    probe: () => Promise.resolve(state),
  });
  return { clock, monitor, lines };
}

function watch(monitor: crashMonitors.CrashMonitor): crashMonitors.WatchedRun {
  return monitor.watch(SERVER, WORK, new AbortController().signal);
}

tap.test("the end of a server is logged with the work that began on it", async (t) => {
  const { clock, monitor, lines } = createMonitor();
  const run = watch(monitor);
  await clock.runForMs(300);
  run.recordBegin();
  await clock.runForMs(80);
  await run.recordBreak();
  t.match(lines, [
    {
      serverId: "e1",
      requestId: "r1",
      sentAgoMs: 380,
      begunAgoMs: 80,
      suspects: "prompt-part p1",
    },
  ]);
});

async function testWithoutEvidence(t: Test, options: Options): Promise<void> {
  const { monitor, lines } = createMonitor(options);
  await watch(monitor).recordBreak();
  t.same(lines, []);
}

tap.test("a reset connection of a server that still listens is no sign of its end", (t) =>
  testWithoutEvidence(t, { state: types.ListenerState.Listens }),
);

tap.test("a server that cannot be reached has not been seen to end", (t) =>
  testWithoutEvidence(t, { state: types.ListenerState.Silent }),
);

tap.test("a server that still listened a moment before is probed again", async (t) => {
  const clock = new virtualClocks.VirtualClock();
  const states = [types.ListenerState.Listens, types.ListenerState.Refuses];
  let endsCount = 0;
  const monitor = new crashMonitors.CrashMonitor({
    clock,
    log: { record: () => (endsCount += 1) },
    vmName: "vm-1",
    announce: () => undefined,
    archive: new suspectArchives.MemoryArchive(),
    isEndExpected: () => false,
    probe: () => Promise.resolve(states.shift() ?? types.ListenerState.Silent),
  });
  await watch(monitor).recordBreak();
  t.equal(endsCount, 0);
  await watch(monitor).recordBreak();
  t.equal(endsCount, 1);
});

tap.test("the end of a server that was leaving is expected", (t) =>
  testWithoutEvidence(t, { isLeaving: true }),
);

tap.test("connections that broke during a pause of the own VM are no sign", async (t) => {
  const { monitor, lines } = createMonitor();
  const run = watch(monitor);
  monitor.recordPause();
  await run.recordBreak();
  t.same(lines, []);
});

tap.test("a run that has outlived its start is not linked to a later end", async (t) => {
  const { clock, monitor, lines } = createMonitor();
  const run = watch(monitor);
  run.recordOutput();
  await clock.runForMs(constants.START_PHASE_MS);
  await run.recordBreak();
  t.same(lines, []);
});

tap.test("a run whose caller disconnected is not watched any longer", async (t) => {
  const { monitor, lines } = createMonitor();
  const caller = new AbortController();
  const run = monitor.watch(SERVER, WORK, caller.signal);
  caller.abort();
  await run.recordBreak();
  t.same(lines, []);
});

/** Ends servers under the work until it is blamed. */
async function blame(
  clock: virtualClocks.VirtualClock,
  monitor: crashMonitors.CrashMonitor,
): Promise<void> {
  for (let index = 0; index < constants.BLAME_ENDS_COUNT; index += 1) {
    const server = { ...SERVER, id: `e${index}` };
    await monitor.watch(server, WORK, new AbortController().signal).recordBreak();
    await clock.runForMs(constants.COMMON_CAUSE_MS);
  }
}

tap.test("what is blamed is still known after all VMs have ended", async (t) => {
  const archive = new suspectArchives.MemoryArchive();
  const { clock, monitor } = createMonitor({ archive });
  await blame(clock, monitor);
  t.not(monitor.findBlame(WORK), null);
  const next = createMonitor({ archive });
  next.monitor.sweep();
  await next.clock.runForMs(1);
  t.not(next.monitor.findBlame(WORK), null);
});

tap.test("what is no longer blamed is removed from the archive", async (t) => {
  const archive = new suspectArchives.MemoryArchive();
  const { clock, monitor } = createMonitor({ archive });
  await blame(clock, monitor);
  t.equal(archive.suspects.size, 1);
  watch(monitor).recordSurvival();
  await clock.runForMs(1);
  t.equal(archive.suspects.size, 0);
});

tap.test("an archive that cannot be reached is written and read later", async (t) => {
  const archive = new suspectArchives.MemoryArchive();
  archive.isReachable = false;
  const { clock, monitor } = createMonitor({ archive });
  await blame(clock, monitor);
  const next = createMonitor({ archive });
  next.monitor.sweep();
  await next.clock.runForMs(1);
  t.equal(next.monitor.findBlame(WORK), null);
  archive.isReachable = true;
  monitor.sweep();
  await clock.runForMs(1);
  t.equal(archive.suspects.size, 1);
  next.monitor.sweep();
  await next.clock.runForMs(1);
  t.not(next.monitor.findBlame(WORK), null);
});

tap.test("a store that was restored gets again what was blamed", async (t) => {
  const archive = new suspectArchives.MemoryArchive();
  const { clock, monitor } = createMonitor({ archive });
  await blame(clock, monitor);
  archive.suspects.clear();
  monitor.restoreArchive();
  await clock.runForMs(1);
  t.equal(archive.suspects.size, 1);
});

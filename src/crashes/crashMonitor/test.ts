import tap, { type Test } from "tap";

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
  readonly state?: types.ListenerState;
  readonly isLeaving?: boolean;
}

function createMonitor({ state = types.ListenerState.Refuses, isLeaving = false }: Options = {}): {
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
    isLeaving: () => isLeaving,
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

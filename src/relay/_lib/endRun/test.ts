import tap from "tap";

import * as virtualClocks from "../../../_lib/virtualClock/index.js";
import * as diagnostics from "../../../diagnostics/index.js";
import * as servers from "../../../servers/index.js";
import * as types from "../../types.js";
import * as fixtures from "../fixtures/index.js";
import * as endRuns from "./index.js";

const { NoSuchRun, Stopped, Unknown } = types.StopOutcome;

/** Ends a run at an engine that answers orders as given, and then that it does not execute the run. */
async function endRun(outcomes: readonly (types.StopOutcome | Error)[], abortAfterMs = Infinity) {
  const clock = new virtualClocks.VirtualClock();
  const directory = new servers.ServerDirectory(clock);
  const meters = new diagnostics.Meters();
  const server = fixtures.createServerEntry("e1", 1);
  const nextServer = fixtures.createServerEntry("e2", 2);
  for (const entry of [server, nextServer]) directory.apply(entry);
  const ordersAtMs: number[] = [];
  const control = {
    stopRun: () => {
      const outcome = outcomes[ordersAtMs.push(clock.nowMs()) - 1] ?? NoSuchRun;
      return outcome instanceof Error ? Promise.reject(outcome) : Promise.resolve(outcome);
    },
  } as unknown as types.EngineControl;
  const log = diagnostics.NOOP_DECISION_LOG;
  const ending = new AbortController();
  const run = { requestId: "r1", server, nextServer, signal: ending.signal };
  const startedAtMs = clock.nowMs();
  const context = { clock, control, directory, log, meters };
  const ended = endRuns.endRun(context, run);
  if (abortAfterMs < Infinity) clock.schedule(abortAfterMs, () => ending.abort());
  await clock.runForMs(10_000);
  await ended;
  return ordersAtMs.map((atMs) => atMs - startedAtMs);
}

tap.test("an engine is told once to stop a run if it has dropped or stopped it", async (t) => {
  t.same(await endRun([NoSuchRun]), [40]);
  t.same(await endRun([Stopped]), [40]);
});

// Guards against a run that goes on twice as the first order was lost, or came while a copy was in progress.
tap.test(
  "an order to stop a run is repeated until the engine has said that it ended",
  async (t) => {
    t.same(await endRun([Unknown, Unknown, Stopped]), [40, 90, 190]);
  },
);

tap.test("an engine that never answers is left alone after a while", async (t) => {
  const ordersAtMs = await endRun(Array.from({ length: 100 }, () => Unknown));
  t.ok(ordersAtMs.length <= 7, ordersAtMs.join(", "));
  t.ok(ordersAtMs.every((atMs) => atMs <= 2_100));
});

tap.test("an unexpected error of an order ends the orders, and no more", async (t) => {
  t.same(await endRun([new Error("broken")]), [40]);
});

// Guards against an order that stops the run at the engine where it goes on again.
tap.test("no order is sent once the run is to go on at that engine again", async (t) => {
  t.same(await endRun([Unknown, Unknown, Unknown], 100), [40, 90]);
});

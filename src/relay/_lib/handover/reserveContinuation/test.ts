import tap from "tap";

import * as virtualClocks from "../../../../_lib/virtualClock/index.js";
import * as servers from "../../../../servers/index.js";
import * as fixtures from "../../fixtures/index.js";
import * as handovers from "../index.js";

const END_AT_MS = 2_000;

function createTarget(): handovers.ContinuationTarget {
  const entry = fixtures.createServerEntry("backup", 4);
  const backup = { entry, receivedAtMs: 0, leaving: null, leavingSinceMs: 0 };
  const target = handovers.createBackupTarget(backup, "r1");
  if (target === null) throw new Error("there is a backup");
  return target;
}

/** Returns after how long a continuation may be sent; null if it may not. */
async function measureWait(
  clock: virtualClocks.VirtualClock,
  backpressure: servers.ServerBackpressure,
  target = createTarget(),
): Promise<number | null> {
  const startedAtMs = clock.nowMs();
  const { signal } = new AbortController();
  const endAtMs = startedAtMs + END_AT_MS;
  const context = { backpressure, clock };
  const waiting = handovers.reserveContinuation(context, target, signal, endAtMs);
  const done = waiting.then((isTurn) => (isTurn ? clock.nowMs() - startedAtMs : null));
  await clock.runForMs(END_AT_MS);
  return done;
}

const RANK: servers.VmRank = { rank: 0, vmsCount: 1 };
const { server: SERVER } = createTarget();

tap.test("a continuation waits for a cold engine's next slot", async (t) => {
  const clock = new virtualClocks.VirtualClock();
  const delays = { delayMs: () => 300, reserve: () => undefined };
  const cold = new servers.ServerBackpressure(clock, () => RANK, delays);
  t.equal(await measureWait(clock, cold), 300);
});

// Before, it waited for no rate that an engine asks for, so that all runs of a VM continued at once.
tap.test("continuations wait for the rate that their engine asks for", async (t) => {
  const clock = new virtualClocks.VirtualClock();
  const limited = new servers.ServerBackpressure(clock, () => RANK);
  limited.record(SERVER, 2);
  limited.reserve(SERVER);
  t.equal(await measureWait(clock, limited), 500);
});

tap.test("a VM without a share of the rate continues the runs that only it has", async (t) => {
  const clock = new virtualClocks.VirtualClock();
  const limited = new servers.ServerBackpressure(clock, () => ({ rank: 3, vmsCount: 4 }));
  limited.record(SERVER, 2);
  t.equal(limited.delayMs(SERVER), Infinity);
  t.equal(await measureWait(clock, limited), 0);
});

tap.test("a continuation or a moved run waits until the pause of its engine ends", async (t) => {
  const clock = new virtualClocks.VirtualClock();
  for (const method of Object.values(handovers.HandoverMethod)) {
    const paused = new servers.ServerBackpressure(clock, () => RANK);
    paused.pause(SERVER, 700);
    clock.schedule(400, () => paused.pause(SERVER, 500));
    t.equal(await measureWait(clock, paused, { ...createTarget(), method }), 900, method);
  }
});

tap.test("a continuation does not wait for a pause that its call does not outlive", async (t) => {
  const clock = new virtualClocks.VirtualClock();
  const paused = new servers.ServerBackpressure(clock, () => RANK);
  paused.pause(SERVER, END_AT_MS + 1);
  t.equal(await measureWait(clock, paused), null);
});

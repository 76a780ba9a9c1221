import tap from "tap";

import * as virtualClocks from "../../../_lib/virtualClock/index.js";
import type * as routing from "../../../routing/index.js";
import * as callTimes from "./index.js";

const ENOUGH_COUNT = 20;

const UNKNOWN = { slowestMs: 0, isEnough: false };

const ROUTE = { name: "file" } as routing.Route;

/** Runs calls one after the other, each for a time. */
async function runCalls(
  clock: virtualClocks.VirtualClock,
  times: callTimes.CallTimes,
  durationsMs: readonly number[],
  isRefused = false,
): Promise<void> {
  for (const durationMs of durationsMs) {
    const call = beginCall(clock, times);
    await clock.runForMs(durationMs);
    times.end(call, isRefused);
  }
}

function beginCall(
  clock: virtualClocks.VirtualClock,
  times: callTimes.CallTimes,
): callTimes.CallInProgress {
  const call = times.begin({
    ...{ requestId: "r", route: ROUTE, arrivedAtMs: clock.nowMs(), isLate: false },
    refuse: () => undefined,
  });
  call.receivedAtMs = clock.nowMs();
  return call;
}

const fast = (count: number): number[] => Array.from({ length: count }, () => 50);

tap.test("the slowest recent call of a route counts, not the mean", async (t) => {
  const clock = new virtualClocks.VirtualClock();
  const times = new callTimes.CallTimes(clock);
  await runCalls(clock, times, fast(ENOUGH_COUNT - 1));
  t.same(times.recent("file"), { slowestMs: 50, isEnough: false }, "too few are known");
  await runCalls(clock, times, [3_000]);
  t.same(times.recent("file"), { slowestMs: 3_000, isEnough: true });
  t.same(times.recent("lookup"), UNKNOWN, "of another route nothing is known");
  await clock.runForMs(60_000);
  await runCalls(clock, times, fast(ENOUGH_COUNT));
  t.same(times.recent("file"), { slowestMs: 3_000, isEnough: true }, "of the former interval");
  await clock.runForMs(60_000);
  await runCalls(clock, times, fast(ENOUGH_COUNT));
  t.same(times.recent("file"), { slowestMs: 50, isEnough: true });
  await clock.runForMs(120_000);
  t.same(times.recent("file"), UNKNOWN, "what is old tells nothing");
});

tap.test("a call in progress counts with the time that it has taken so far", async (t) => {
  const clock = new virtualClocks.VirtualClock();
  const times = new callTimes.CallTimes(clock);
  await runCalls(clock, times, fast(ENOUGH_COUNT));
  const call = beginCall(clock, times);
  await clock.runForMs(2_000);
  t.same(times.recent("file"), { slowestMs: 2_000, isEnough: true });
  times.end(call, false);
  t.same(times.recent("file"), { slowestMs: 2_000, isEnough: true });
});

// Guards against routes that count as fast because this VM refuses their calls at once.
tap.test("refused calls tell nothing of the time that calls take", async (t) => {
  const clock = new virtualClocks.VirtualClock();
  const times = new callTimes.CallTimes(clock);
  await runCalls(clock, times, fast(ENOUGH_COUNT), true);
  t.same(times.recent("file"), UNKNOWN);
});

import tap from "tap";

import * as virtualClocks from "../virtualClock/index.js";
import * as retries from "./index.js";

/** Lets the clock advance until the promise is settled. */
async function settle<Value>(
  clock: virtualClocks.VirtualClock,
  promise: Promise<Value>,
): Promise<Value> {
  const state = { isSettled: false };
  const note = (): boolean => (state.isSettled = true);
  promise.then(note, note);
  for (let round = 0; round < 1_000 && !state.isSettled; round += 1) {
    await new Promise(setImmediate);
    clock.advanceToMs(clock.nowMs() + 100);
  }
  return promise;
}

tap.test("a failure that lasts is reported rarely, and its end once", async (t) => {
  const clock = new virtualClocks.VirtualClock();
  const failedForMs: number[] = [];
  const recoveredAfterMs: number[] = [];
  const attempt = (): Promise<string> =>
    clock.nowMs() < 25_000 ? Promise.reject(new Error("in use")) : Promise.resolve("done");
  const value = await settle(
    clock,
    retries.retryUntilDone(attempt, {
      clock,
      onFailing: (_error, forMs) => failedForMs.push(forMs),
      onRecovered: (forMs) => recoveredAfterMs.push(forMs),
    }),
  );
  t.equal(value, "done");
  t.equal(failedForMs.length, 3);
  t.equal(recoveredAfterMs.length, 1);
});

tap.test("attempts end when their signal is aborted", async (t) => {
  const clock = new virtualClocks.VirtualClock();
  const ending = new AbortController();
  const retried = retries.retryUntilDone(() => Promise.reject(new Error("in use")), {
    clock,
    signal: ending.signal,
    onFailing: () => ending.abort(),
    onRecovered: () => t.fail("nothing has succeeded"),
  });
  await t.rejects(settle(clock, retried), { name: "AbortError" });
});

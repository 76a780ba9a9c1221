import * as timers from "node:timers/promises";

import tap from "tap";

import * as clocks from "./index.js";

/** Longer than any timer of Node. */
const HUGE_MS = 1e12;

// Guards against timeouts that end at once because they are very long.
tap.test("a timer of a very long delay does not run at once", async (t) => {
  const clock = new clocks.SystemClock();
  const ended: string[] = [];
  const timer = clock.schedule(HUGE_MS, () => ended.push("timer"));
  const infinite = clock.schedule(Infinity, () => ended.push("infinite timer"));
  const controller = new AbortController();
  const sleeping = clock.sleep(HUGE_MS, controller.signal).then(
    () => ended.push("sleep"),
    () => null,
  );
  await timers.setTimeout(50);
  t.same(ended, []);
  controller.abort();
  await sleeping;
  timer[Symbol.dispose]();
  infinite[Symbol.dispose]();
});

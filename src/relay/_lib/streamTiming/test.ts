import tap from "tap";

import * as streamTimings from "./index.js";

tap.test("a window holds the events of one engine only", async (t) => {
  const timing = new streamTimings.StreamTiming();
  timing.start(0);
  for (const atMs of [100, 140, 180, 260]) timing.recordEvent(atMs);
  t.equal(timing.takeWindow(4), null);
  t.same(timing.takeWindow(3), { eventsCount: 3, elapsedMs: 160, maxGapMs: 80 });
  timing.recordEvent(300);
  timing.restartWindow();
  for (const atMs of [900, 930]) timing.recordEvent(atMs);
  t.same(timing.takeWindow(1), { eventsCount: 1, elapsedMs: 30, maxGapMs: 30 });
  t.equal(timing.maxGapMs, 600, "the pause of the caller's stream still counts");
});

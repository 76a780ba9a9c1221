import tap from "tap";

import * as virtualClocks from "../virtualClock/index.js";
import * as movingRates from "./index.js";

tap.test("a rate counts the events of its window, and none before", async (t) => {
  const clock = new virtualClocks.VirtualClock();
  const rate = new movingRates.MovingRate(clock, 500);
  for (let count = 0; count < 10; count += 1) {
    rate.record();
    await clock.runForMs(20);
  }
  t.equal(rate.perSecond, 20);
  await clock.runForMs(250);
  t.equal(rate.perSecond, 20, "all events are within the window");
  await clock.runForMs(250);
  t.equal(rate.perSecond, 0);
});

tap.test("a rate without events for long starts anew", async (t) => {
  const clock = new virtualClocks.VirtualClock();
  const rate = new movingRates.MovingRate(clock, 1_000);
  rate.record();
  await clock.runForMs(60_000);
  rate.record();
  t.equal(rate.perSecond, 1);
});

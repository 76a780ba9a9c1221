import tap from "tap";

import * as virtualClocks from "../../_lib/virtualClock/index.js";
import * as fixtures from "../_lib/fixtures/index.js";
import * as dispatch from "../index.js";

tap.test(
  "leaving the data centre is cheap until a cut is seen, and again long after",
  async (t) => {
    const clock = new virtualClocks.VirtualClock();
    const risk = new dispatch.CutRisk(clock);
    const costMs = (): number =>
      dispatch.computeDistanceCostMs(fixtures.need(), risk.ratioOf("dc-b"));
    risk.record("dc-b", false);
    const calmMs = costMs();
    t.ok(calmMs < 0.1 * 1_800, "a tenth of the objective of long runs");
    risk.record("dc-b", true);
    await clock.runForMs(1_000);
    t.ok(costMs() > 0.4 * 1_800, "nearly half of the objective");
    t.equal(dispatch.computeDistanceCostMs(fixtures.need(), risk.ratioOf("dc-c")), calmMs);
    await clock.runForMs(600_000);
    t.ok(costMs() < 1.02 * calmMs);
  },
);

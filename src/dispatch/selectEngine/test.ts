import tap from "tap";

import * as fixtures from "../_lib/fixtures/index.js";
import * as dispatch from "../index.js";

tap.test("a prompt is sent to the engine with the smallest prefill backlog", async (t) => {
  const engines = [
    fixtures.engine({ serverId: "busy", backlogTokens: 6_000, runningCount: 2 }),
    fixtures.engine({ serverId: "free", runningCount: 2 }),
  ];
  t.equal(dispatch.selectEngine(fixtures.need(), engines)?.serverId, "free");
});

tap.test(
  "an engine is not selected past the memory that its runs are expected to use",
  async (t) => {
    const full = fixtures.engine({ committedTokens: 29_000, runningCount: 7 });
    t.equal(dispatch.selectEngine(fixtures.need(), [full]), undefined);
    const fits = fixtures.engine({ committedTokens: 27_000, runningCount: 7 });
    t.equal(dispatch.selectEngine(fixtures.need(), [fits])?.serverId, "e1");
  },
);

tap.test("an engine with an overdue run is not selected, even if it has free memory", async (t) => {
  const stuck = fixtures.engine({ serverId: "stuck", overdueCount: 1, runningCount: 1 });
  const busy = fixtures.engine({ serverId: "busy", backlogTokens: 9_000, runningCount: 3 });
  t.equal(dispatch.selectEngine(fixtures.need(), [stuck, busy])?.serverId, "busy");
  t.equal(dispatch.selectEngine(fixtures.need(), [stuck]), undefined);
});

tap.test("an empty engine accepts a generation larger than the memory limit", async (t) => {
  const need = fixtures.need({ promptTokens: 33_000 });
  t.equal(dispatch.selectEngine(need, [fixtures.engine()])?.serverId, "e1");
});

tap.test("an engine without a free slot is not selected", async (t) => {
  const engine = fixtures.engine({ runningCount: 24, committedTokens: 100 });
  t.equal(dispatch.selectEngine(fixtures.need(), [engine]), undefined);
});

tap.test("a failing or slow engine is avoided while others have similar load", async (t) => {
  const sound = fixtures.engine({ serverId: "sound", backlogTokens: 1_500, runningCount: 1 });
  const failing = fixtures.engine({ serverId: "failing", failureRatio: 0.5 });
  const slow = fixtures.engine({ serverId: "slow", slownessRatio: 4 });
  t.equal(dispatch.selectEngine(fixtures.need(), [failing, sound])?.serverId, "sound");
  t.equal(dispatch.selectEngine(fixtures.need(), [slow, sound])?.serverId, "sound");
});

tap.test(
  "an engine behind a suspected partition is selected only when no other has capacity",
  async (t) => {
    const cut = fixtures.engine({ serverId: "cut", isPartitioned: true });
    const busy = fixtures.engine({ serverId: "busy", backlogTokens: 20_000, runningCount: 3 });
    t.equal(dispatch.selectEngine(fixtures.need(), [cut, busy])?.serverId, "busy");
    t.equal(dispatch.selectEngine(fixtures.need(), [cut])?.serverId, "cut");
  },
);

tap.test("among equal engines the one in the caller's data centre is selected", async (t) => {
  const far = fixtures.engine({ serverId: "far", dataCentre: "dc-b" });
  const near = fixtures.engine({ serverId: "near" });
  t.equal(dispatch.selectEngine(fixtures.need(), [far, near])?.serverId, "near");
});

import tap from "tap";

import * as fixtures from "../_lib/fixtures/index.js";
import * as dispatch from "../index.js";

tap.test("a prompt goes where the least is left to read", async (t) => {
  const engines = [
    fixtures.engine({ serverId: "busy", backlogTokens: 6_000, runningCount: 2 }),
    fixtures.engine({ serverId: "free", runningCount: 2 }),
  ];
  t.equal(dispatch.selectEngine(fixtures.need(), engines)?.serverId, "free");
});

tap.test("no engine is taken past the memory that its runs are expected to need", async (t) => {
  const full = fixtures.engine({ committedTokens: 29_000, runningCount: 7 });
  t.equal(dispatch.selectEngine(fixtures.need(), [full]), undefined);
  const fits = fixtures.engine({ committedTokens: 27_000, runningCount: 7 });
  t.equal(dispatch.selectEngine(fixtures.need(), [fits])?.serverId, "e1");
});

tap.test("an engine that lets runs wait gets no more, however free it seems", async (t) => {
  const stuck = fixtures.engine({ serverId: "stuck", overdueCount: 1, runningCount: 1 });
  const busy = fixtures.engine({ serverId: "busy", backlogTokens: 9_000, runningCount: 3 });
  t.equal(dispatch.selectEngine(fixtures.need(), [stuck, busy])?.serverId, "busy");
  t.equal(dispatch.selectEngine(fixtures.need(), [stuck]), undefined);
});

tap.test("an empty engine takes what is larger than its share", async (t) => {
  const need = fixtures.need({ promptTokens: 33_000 });
  t.equal(dispatch.selectEngine(need, [fixtures.engine()])?.serverId, "e1");
});

tap.test("a full batch takes nothing more", async (t) => {
  const engine = fixtures.engine({ runningCount: 24, committedTokens: 100 });
  t.equal(dispatch.selectEngine(fixtures.need(), [engine]), undefined);
});

tap.test(
  "an engine that fails or is slow is passed over while others are near as free",
  async (t) => {
    const sound = fixtures.engine({ serverId: "sound", backlogTokens: 1_500, runningCount: 1 });
    const failing = fixtures.engine({ serverId: "failing", failureRatio: 0.5 });
    const slow = fixtures.engine({ serverId: "slow", slownessRatio: 4 });
    t.equal(dispatch.selectEngine(fixtures.need(), [failing, sound])?.serverId, "sound");
    t.equal(dispatch.selectEngine(fixtures.need(), [slow, sound])?.serverId, "sound");
  },
);

tap.test("a data centre that seems cut is the last choice, and one all the same", async (t) => {
  const cut = fixtures.engine({ serverId: "cut", isCutOff: true });
  const busy = fixtures.engine({ serverId: "busy", backlogTokens: 20_000, runningCount: 3 });
  t.equal(dispatch.selectEngine(fixtures.need(), [cut, busy])?.serverId, "busy");
  t.equal(dispatch.selectEngine(fixtures.need(), [cut])?.serverId, "cut");
});

tap.test("among equals the own data centre is nearer", async (t) => {
  const far = fixtures.engine({ serverId: "far", dataCentre: "dc-b" });
  const near = fixtures.engine({ serverId: "near" });
  t.equal(dispatch.selectEngine(fixtures.need(), [far, near])?.serverId, "near");
});

import tap from "tap";

import * as fixtures from "../_lib/fixtures/index.js";
import * as dispatch from "../index.js";

const moving = fixtures.need({ unreadTokens: 0, producedTokens: 400 });

tap.test("memory moves within the data centre of the engine that leaves", async (t) => {
  const near = fixtures.engine({ serverId: "near", committedTokens: 20_000, runningCount: 5 });
  const far = fixtures.engine({ serverId: "far", dataCentre: "dc-b" });
  t.equal(dispatch.selectMoveTarget(moving, [far, near])?.serverId, "near");
});

tap.test("where it is full, memory moves further", async (t) => {
  const near = fixtures.engine({
    serverId: "near",
    committedTokens: 33_000,
    usedTokens: 30_000,
    runningCount: 8,
  });
  const far = fixtures.engine({ serverId: "far", dataCentre: "dc-b" });
  t.equal(dispatch.selectMoveTarget(moving, [far, near])?.serverId, "far");
  t.equal(dispatch.selectMoveTarget(moving, [near]), undefined);
});

tap.test("a run goes where it fits for now rather than ending cut", async (t) => {
  const load = { committedTokens: 32_000, runningCount: 8 };
  const fuller = fixtures.engine({ ...load, serverId: "fuller", usedTokens: 27_000 });
  const lessFull = fixtures.engine({ ...load, serverId: "less-full", usedTokens: 25_000 });
  const far = fixtures.engine({ ...load, serverId: "far", dataCentre: "dc-b", usedTokens: 9_000 });
  const stuck = fixtures.engine({ ...load, serverId: "stuck", usedTokens: 0, overdueCount: 1 });
  const chosen = dispatch.selectMoveTarget(moving, [far, fuller, stuck, lessFull]);
  t.equal(chosen?.serverId, "less-full", "in the data centre of the engine that leaves");
  t.equal(dispatch.selectMoveTarget(moving, [far, stuck])?.serverId, "far");
  t.equal(dispatch.selectMoveTarget(moving, [stuck]), undefined);
});

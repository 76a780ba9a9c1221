import tap from "tap";

import * as fixtures from "../_lib/fixtures/index.js";
import * as dispatch from "../index.js";

const moving = fixtures.need({ unreadTokens: 0, producedTokens: 400 });

tap.test("memory moves within the data centre of the engine that leaves", async (t) => {
  const near = fixtures.engine({ serverId: "near", committedTokens: 20_000, runningCount: 5 });
  const far = fixtures.engine({ serverId: "far", dataCentre: "dc-b" });
  t.equal(dispatch.selectMoveTarget(moving, [far, near], "dc-a")?.serverId, "near");
});

tap.test("where it is full, memory moves further", async (t) => {
  const near = fixtures.engine({ serverId: "near", committedTokens: 30_000, runningCount: 5 });
  const far = fixtures.engine({ serverId: "far", dataCentre: "dc-b" });
  t.equal(dispatch.selectMoveTarget(moving, [far, near], "dc-a")?.serverId, "far");
  t.equal(dispatch.selectMoveTarget(moving, [near], "dc-a"), undefined);
});

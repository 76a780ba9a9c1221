import tap from "tap";

import * as fixtures from "../_lib/fixtures/index.js";
import * as dispatch from "../index.js";

const migrating = fixtures.need({ unreadTokens: 0, producedTokens: 400 });

tap.test("a run migrates within the data centre of the leaving engine", async (t) => {
  const near = fixtures.engine({ serverId: "near", committedTokens: 20_000, runningCount: 5 });
  const far = fixtures.engine({ serverId: "far", dataCentre: "dc-b" });
  t.equal(dispatch.selectMigrationTarget(migrating, [far, near], "r1")?.serverId, "near");
});

tap.test("a run migrates to another data centre when its own is full", async (t) => {
  const near = fixtures.engine({
    serverId: "near",
    committedTokens: 33_000,
    usedTokens: 30_000,
    runningCount: 8,
  });
  const far = fixtures.engine({ serverId: "far", dataCentre: "dc-b" });
  t.equal(dispatch.selectMigrationTarget(migrating, [far, near], "r1")?.serverId, "far");
  t.equal(dispatch.selectMigrationTarget(migrating, [near], "r1"), undefined);
});

tap.test(
  "if no engine has capacity for growth, a run migrates to one that fits its current size",
  async (t) => {
    const load = { committedTokens: 32_000, runningCount: 8 };
    const fuller = fixtures.engine({ ...load, serverId: "fuller", usedTokens: 27_000 });
    const lessFull = fixtures.engine({ ...load, serverId: "less-full", usedTokens: 25_000 });
    const far = fixtures.engine({
      ...load,
      serverId: "far",
      dataCentre: "dc-b",
      usedTokens: 9_000,
    });
    const stuck = fixtures.engine({ ...load, serverId: "stuck", usedTokens: 0, overdueCount: 1 });
    const chosen = dispatch.selectMigrationTarget(migrating, [far, fuller, stuck, lessFull], "r1");
    t.equal(chosen?.serverId, "less-full", "in the data centre of the leaving engine");
    t.equal(dispatch.selectMigrationTarget(migrating, [far, stuck], "r1")?.serverId, "far");
    t.equal(dispatch.selectMigrationTarget(migrating, [stuck], "r1"), undefined);
  },
);

tap.test("runs of engines that leave together migrate to different engines", async (t) => {
  const engines = Array.from({ length: 20 }, (_, index) =>
    fixtures.engine({ serverId: `e${index}`, committedTokens: 12_000, runningCount: 3 }),
  );
  const before = Array.from({ length: 5 }, (_, index) =>
    dispatch.selectMigrationTarget(migrating, engines, `run-${index}`),
  );
  t.ok(new Set(before).size >= 4, "at the same moment, before any claim is known");
  const busy = engines.map((engine, index) => {
    return index === 7 ? engine : { ...engine, incomingTokens: 3_500 };
  });
  const after = dispatch.selectMigrationTarget(migrating, busy, "run-0");
  t.equal(after?.serverId, "e7", "the one whose link is idle");
});

tap.test(
  "a run does not wait for a busy link where another data centre has an idle one",
  async (t) => {
    const near = fixtures.engine({ serverId: "near", incomingTokens: 7_000, runningCount: 2 });
    const far = fixtures.engine({ serverId: "far", dataCentre: "dc-b" });
    t.equal(dispatch.selectMigrationTarget(migrating, [near, far], "r1")?.serverId, "far");
    t.equal(dispatch.selectMigrationTarget(migrating, [near], "r1")?.serverId, "near");
  },
);

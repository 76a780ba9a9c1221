import tap from "tap";

import * as fixtures from "../_lib/fixtures/index.js";
import * as dispatch from "../index.js";

tap.test("the backup is placed on the other engine with the least committed memory", async (t) => {
  const engines = [
    fixtures.engine({ serverId: "own" }),
    fixtures.engine({ serverId: "half", committedTokens: 15_000 }),
    fixtures.engine({ serverId: "quarter", committedTokens: 8_000 }),
  ];
  t.equal(dispatch.selectBackupEngine(fixtures.need(), engines, "own")?.serverId, "quarter");
});

tap.test("no backup is placed on an engine that needs its memory for runs", async (t) => {
  const crowded = fixtures.engine({ serverId: "crowded", committedTokens: 20_000 });
  t.equal(dispatch.selectBackupEngine(fixtures.need(), [crowded], "own"), undefined);
});

tap.test("the backup of a run in another data centre is placed near its caller's VM", async (t) => {
  const engines = [
    fixtures.engine({ serverId: "own", dataCentre: "dc-b" }),
    fixtures.engine({ serverId: "far", dataCentre: "dc-b" }),
    fixtures.engine({ serverId: "near", committedTokens: 8_000 }),
  ];
  t.equal(dispatch.selectBackupEngine(fixtures.need(), engines, "own")?.serverId, "near");
  const [own, far, near] = engines;
  const crowded = { ...near!, committedTokens: 20_000 };
  const chosen = dispatch.selectBackupEngine(fixtures.need(), [own!, far!, crowded], "own");
  t.equal(chosen?.serverId, "far", "where none is suitable there");
});

tap.test("no backup is placed behind a suspected partition", async (t) => {
  const cut = fixtures.engine({ serverId: "cut", isPartitioned: true });
  t.equal(dispatch.selectBackupEngine(fixtures.need(), [cut], "own"), undefined);
});

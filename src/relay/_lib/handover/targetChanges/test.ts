import tap from "tap";

import * as servers from "../../../../servers/index.js";
import * as handoverFixtures from "../../handoverFixture/index.js";

const { setUpHandover } = handoverFixtures;

type Change = (
  parts: Pick<ReturnType<typeof setUpHandover>, "directory" | "backpressure">,
  id: string,
) => void;

function update(fields: Partial<servers.ServerEntry>): Change {
  return ({ directory }, id) => {
    const entry = directory.find(id)?.entry;
    if (entry !== undefined) directory.apply({ ...entry, sequence: 2, ...fields });
  };
}

const CHANGES: Readonly<Record<string, Change>> = {
  "begins to drain": update({ state: servers.ServerState.Draining }),
  "says that it leaves": ({ directory }, id) =>
    directory.markLeaving(id, servers.LeavingReason.StatedInAnswer),
  "is removed": ({ directory }, id) =>
    directory.markLeaving(id, servers.LeavingReason.EntryRemoved),
  "starts anew": update({ bornAtWallMs: 2 }),
  "turns cold": update({ coldRemainingMs: 4_000 }),
  "asks for a pause": ({ directory, backpressure }, id) => {
    const entry = directory.find(id)?.entry;
    if (entry !== undefined) backpressure.pause(entry, 4_000);
  },
};

// Before, a run was moved to an engine that had begun to leave, and reached it after its time to drain.
for (const [name, change] of Object.entries(CHANGES)) {
  tap.test(`a target that ${name} during the first copy is not used`, async (t) => {
    let changedId = null as string | null;
    const parts = setUpHandover((to) => {
      if (changedId === null) change(parts, (changedId = to));
      return null;
    });
    const migrated = parts.start();
    await parts.clock.runForMs(1_000);
    const target = await migrated;
    t.not(target, null);
    t.not(target?.server.id, changedId);
    t.same(
      parts.transfers.map(({ stopsRun }) => stopsRun),
      [false, false, true],
      "the run is not stopped for the first target",
    );
  });
}

tap.test("a run stays where it is if each target changes", async (t) => {
  const parts = setUpHandover((to) => {
    parts.directory.markLeaving(to, servers.LeavingReason.StatedInAnswer);
    return null;
  });
  const migrated = parts.start();
  await parts.clock.runForMs(10_000);
  t.equal(await migrated, null);
  t.notOk(parts.transfers.some(({ stopsRun }) => stopsRun));
});

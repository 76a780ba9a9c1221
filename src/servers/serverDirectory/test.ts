import * as fastCheck from "fast-check";
import tap from "tap";

import * as virtualClocks from "../../_lib/virtualClock/index.js";
import * as constants from "../constants.js";
import * as fixtures from "../_lib/fixtures/index.js";
import * as servers from "../index.js";

const { EntryEffect, LeavingReason, ServerState } = servers;

function setUp(): {
  readonly clock: virtualClocks.VirtualClock;
  readonly directory: servers.ServerDirectory;
  readonly availableIds: () => readonly string[];
} {
  const clock = new virtualClocks.VirtualClock();
  const directory = new servers.ServerDirectory(clock);
  const availableIds = (): readonly string[] =>
    directory.listAvailable("s").map(({ entry }) => entry.id);
  return { clock, directory, availableIds };
}

tap.test("a server that announces its termination is no longer available", async (t) => {
  const { directory, availableIds } = setUp();
  const leavingIds: string[] = [];
  directory.onLeaving(({ entry }) => leavingIds.push(entry.id));
  directory.apply(fixtures.entry());
  t.same(availableIds(), ["e1"]);
  directory.apply(fixtures.entry({ state: ServerState.Draining, sequence: 2 }));
  t.same(availableIds(), []);
  t.same(leavingIds, ["e1"]);
});

tap.test(
  "later messages of the same start do not make a leaving server available again",
  async (t) => {
    const { directory, availableIds } = setUp();
    directory.apply(fixtures.entry({ state: ServerState.Draining, sequence: 5 }));
    directory.apply(fixtures.entry({ sequence: 4 }));
    directory.apply(fixtures.entry({ sequence: 6 }));
    t.same(availableIds(), []);
  },
);

tap.test(
  "a new start with the same id is a new server, and an older start is ignored",
  async (t) => {
    const { directory, availableIds } = setUp();
    directory.apply(fixtures.entry({ state: ServerState.Draining, sequence: 5 }));
    directory.apply(fixtures.entry({ bornAtWallMs: 2_000, sequence: 0 }));
    t.same(availableIds(), ["e1"]);
    directory.apply(
      fixtures.entry({ bornAtWallMs: 1_000, sequence: 9, state: ServerState.Draining }),
    );
    t.same(availableIds(), ["e1"]);
  },
);

tap.test(
  "servers whose entries are removed right after a store outage stay available for two seconds",
  async (t) => {
    const { clock, directory, availableIds } = setUp();
    directory.apply(fixtures.entry());
    directory.apply(fixtures.entry({ id: "e2", port: 9_001 }));
    directory.recordStoreRecovery();
    directory.remove("e1");
    directory.remove("e2");
    t.same(availableIds(), ["e1", "e2"]);
    await clock.runForMs(constants.LAPSED_ENTRY_GRACE_MS / 2);
    directory.apply(fixtures.entry());
    await clock.runForMs(constants.LAPSED_ENTRY_GRACE_MS);
    directory.sweep();
    t.same(availableIds(), ["e1"], "the server whose entry reappeared is available");
    t.equal(directory.find("e2")?.leaving, LeavingReason.EntryRemoved);
  },
);

tap.test(
  "the removal of an entry takes effect at once when no store outage has just ended",
  async (t) => {
    const { clock, directory, availableIds } = setUp();
    directory.recordStoreRecovery();
    await clock.runForMs(constants.LAPSED_ENTRY_GRACE_MS);
    directory.apply(fixtures.entry());
    directory.remove("e1");
    t.same(availableIds(), []);
  },
);

tap.test("servers missing from a complete listing are removed", async (t) => {
  const { clock, directory, availableIds } = setUp();
  await clock.runForMs(10_000);
  directory.apply(fixtures.entry());
  directory.apply(fixtures.entry({ id: "e2", port: 9_001 }));
  directory.retainListed(new Set(["e2"]));
  t.same(availableIds(), ["e2"]);
});

tap.test(
  "of two servers with the same address only the later started one is available",
  async (t) => {
    const { directory, availableIds } = setUp();
    directory.apply(fixtures.entry());
    directory.apply(fixtures.entry({ id: "e2", serviceName: "t", bornAtWallMs: 5_000 }));
    t.same(availableIds(), []);
    t.equal(directory.find("e1")?.leaving, LeavingReason.ReplacedAtAddress);
    t.equal(directory.listAvailable("t").length, 1);
  },
);

tap.test("random histories: no start that was leaving becomes available again", async () => {
  const step = fastCheck.record({
    born: fastCheck.integer({ min: 1, max: 3 }),
    sequence: fastCheck.integer({ min: 0, max: 6 }),
    isDraining: fastCheck.boolean(),
  });
  fastCheck.assert(
    fastCheck.property(fastCheck.array(step, { maxLength: 30 }), (steps) => {
      const { directory } = setUp();
      const leavingStarts = new Set<number>();
      for (const { born, sequence, isDraining } of steps) {
        const state = isDraining ? ServerState.Draining : ServerState.Ready;
        directory.apply(fixtures.entry({ bornAtWallMs: born, sequence, state }));
        const known = directory.find("e1");
        if (known !== undefined && known.leaving !== null)
          leavingStarts.add(known.entry.bornAtWallMs);
        const available = directory.listAvailable("s")[0];
        if (available !== undefined && leavingStarts.has(available.entry.bornAtWallMs))
          return false;
      }
      return true;
    }),
    { seed: 11, numRuns: 500 },
  );
});

tap.test(
  "a restored copy of a removed entry does not make its server available again",
  async (t) => {
    const { clock, directory, availableIds } = setUp();
    await clock.runForMs(constants.LAPSED_ENTRY_GRACE_MS);
    directory.apply(fixtures.entry({ sequence: 5 }));
    directory.remove("e1");
    for (const sequence of [4, 5]) {
      directory.apply(fixtures.entry({ sequence }));
      t.same(availableIds(), []);
    }
    directory.apply(fixtures.entry({ sequence: 6 }));
    t.same(availableIds(), ["e1"], "the server has written since");
  },
);

tap.test(
  "a server that said it leaves after its entry was removed stays so when the entry is back",
  async (t) => {
    const { clock, directory, availableIds } = setUp();
    await clock.runForMs(constants.LAPSED_ENTRY_GRACE_MS);
    directory.apply(fixtures.entry({ sequence: 5 }));
    directory.remove("e1");
    directory.markLeaving("e1", LeavingReason.StatedInAnswer);
    directory.apply(fixtures.entry({ sequence: 6 }));
    t.same(availableIds(), []);
  },
);

tap.test("a server that said it leaves is not forgotten while its entry is renewed", async (t) => {
  const { clock, directory, availableIds } = setUp();
  directory.apply(fixtures.entry({ sequence: 1 }));
  directory.markLeaving("e1", LeavingReason.StatedInAnswer);
  for (let sequence = 2; sequence < 10; sequence += 1) {
    await clock.runForMs(constants.DEPARTED_SERVER_RETENTION_MS / 4);
    directory.apply(fixtures.entry({ sequence }));
    directory.sweep();
  }
  t.same(availableIds(), []);
});

tap.test(
  "servers of an evacuated data centre are not available until it is taken back",
  async (t) => {
    const { directory, availableIds } = setUp();
    directory.apply(fixtures.entry());
    directory.apply(fixtures.entry({ id: "e2", port: 9_001, dataCentre: "dc-b" }));
    directory.evacuations.apply("dc-a", true);
    t.same(availableIds(), ["e2"]);
    t.notOk(directory.isServiceEvacuated("s"));
    directory.evacuations.apply("dc-b", true);
    t.ok(directory.isServiceEvacuated("s"));
    directory.evacuations.apply("dc-a", false);
    t.same(availableIds(), ["e1"]);
  },
);

tap.test(
  "a service without servers, or whose servers leave, does not count as evacuated",
  async (t) => {
    const { directory } = setUp();
    directory.evacuations.apply("dc-a", true);
    t.notOk(directory.isServiceEvacuated("s"));
    directory.apply(fixtures.entry({ state: ServerState.Draining }));
    t.notOk(directory.isServiceEvacuated("s"));
  },
);

// Guards against sound servers that are put aside, as another writer left an entry with their address or under their id.
tap.test("an entry of no known service changes nothing about other servers", async (t) => {
  const { directory, availableIds } = setUp();
  directory.nameServices(["s"]);
  directory.apply(fixtures.entry());
  const odd = fixtures.entry({ id: "odd", serviceName: "elsewhere", bornAtWallMs: 1e12 });
  t.equal(directory.apply(odd), EntryEffect.UnknownService);
  t.equal(directory.apply({ ...odd, id: "e1" }), EntryEffect.UnknownService);
  t.same(availableIds(), ["e1"]);
  t.equal(directory.apply(fixtures.entry({ sequence: 2 })), EntryEffect.Updated);
  t.equal(directory.find("e1")?.entry.serviceName, "s");
});

tap.test("an entry that came before its service counts once the service is named", async (t) => {
  const { directory, availableIds } = setUp();
  directory.nameServices([]);
  directory.apply(fixtures.entry());
  directory.apply(fixtures.entry({ id: "gone", port: 9_001 }));
  directory.remove("gone");
  t.same(availableIds(), []);
  const named = directory.nameServices(["s"]);
  t.same(
    named.map(({ entry, effect }) => [entry.id, effect]),
    [["e1", EntryEffect.NewStart]],
  );
  t.same(availableIds(), ["e1"]);
  directory.nameServices([]);
  directory.apply(fixtures.entry({ state: ServerState.Draining, sequence: 2 }));
  t.same(availableIds(), [], "a service that was named once stays known");
});

import tap from "tap";

import * as dispatch from "../../../dispatch/index.js";
import * as types from "../../types.js";
import * as fixtures from "../fixtures/index.js";
import * as handoverFixtures from "../handoverFixture/index.js";

tap.test(
  "a migration copies memory while the run executes, and again after stopping it",
  async (t) => {
    const { clock, transfers, claims, start } = handoverFixtures.setUpHandover(() => null);
    const target = start();
    await clock.runForMs(2_000);
    const migrated = await target;
    t.equal(
      claims.find("r1", dispatch.ClaimRole.Migration)?.serverId,
      migrated?.server.id,
      "the migration's claim is kept",
    );
    t.same(
      transfers.map(({ stopsRun }) => stopsRun),
      [false, true],
    );
    t.equal(
      migrated?.memory.memoryAddress,
      "10.0.0.1:1",
      "the memory is fetched from the source engine",
    );
    t.equal(migrated?.memory.memoryHandle, `copy at ${migrated?.server.id ?? ""}`);
  },
);

tap.test("a migration tries another engine when its target has no capacity", async (t) => {
  const full = new Set<string>();
  const { clock, transfers, start } = handoverFixtures.setUpHandover((to) => {
    if (full.size === 0) full.add(to);
    return full.has(to) ? types.MemoryCopyFailure.NoCapacity : null;
  });
  const target = start();
  await clock.runForMs(2_000);
  const migrated = await target;
  t.ok(migrated !== null && !full.has(migrated.server.id));
  t.equal(transfers.length, 3);
});

tap.test(
  "a migration is not retried after its run was stopped or is unknown to the engine",
  async (t) => {
    const stopped = handoverFixtures.setUpHandover((_to, stopsRun) =>
      stopsRun ? types.MemoryCopyFailure.NoCapacity : null,
    );
    const target = stopped.start();
    await stopped.clock.runForMs(2_000);
    t.equal(await target, null);
    t.equal(stopped.transfers.length, 2);
    const unknown = handoverFixtures.setUpHandover(() => types.MemoryCopyFailure.NoSuchRun);
    t.equal(await unknown.start(), null);
    t.equal(unknown.transfers.length, 1);
  },
);

tap.test("the runs of a leaving engine migrate one after another", async (t) => {
  const { clock, transfers, claims, start, claimRun } = handoverFixtures.setUpHandover(() => null);
  for (const requestId of ["q1", "q2", "r1", "r2"]) claimRun(requestId);
  const target = start();
  await clock.runForMs(100);
  t.equal(transfers.length, 0, "two predecessors are left");
  claims.release("q1", dispatch.ClaimRole.Run);
  await clock.runForMs(100);
  t.equal(transfers.length, 0, "one predecessor is left");
  claimRun("q2", "e3");
  await clock.runForMs(20);
  t.same(
    transfers.map(({ stopsRun }) => stopsRun),
    [false, true],
    "the second copy follows the first at once",
  );
  t.ok(await target);
});

tap.test("a run with a migration claim still precedes its successors", async (t) => {
  const { clock, transfers, claims, start, claimRun } = handoverFixtures.setUpHandover(() => null);
  claimRun("q1");
  const migration = {
    ...handoverFixtures.NEED,
    requestId: "q1",
    vmName: "vm of q1",
    hasFirstEvent: true,
  };
  claims.put({ ...migration, role: dispatch.ClaimRole.Migration, serverId: "e2" });
  const target = start();
  await clock.runForMs(100);
  t.equal(transfers.length, 0);
  await clock.runForMs(1_000);
  t.ok(await target);
});

tap.test("a migration waits until an engine has capacity", async (t) => {
  const { clock, transfers, claims, start, claimRun } = handoverFixtures.setUpHandover(() => null);
  for (let index = 0; index < 10; index += 1) {
    for (const serverId of ["e2", "e3"]) claimRun(`s${index} on ${serverId}`, serverId);
  }
  const target = start();
  await clock.runForMs(700);
  t.equal(transfers.length, 0);
  claims.release("s0 on e3", dispatch.ClaimRole.Run);
  claims.release("s1 on e3", dispatch.ClaimRole.Run);
  await clock.runForMs(50);
  t.equal((await target)?.server.id, "e3");
});

tap.test(
  "a predecessor that does not migrate delays the others only for the time of its copies",
  async (t) => {
    const { clock, transfers, start, claimRun } = handoverFixtures.setUpHandover(() => null);
    claimRun("q1");
    const target = start();
    await clock.runForMs(380);
    t.equal(transfers.length, 0);
    await clock.runForMs(70);
    t.ok(await target);
  },
);

tap.test(
  "a run whose stream ends while it waits for its predecessors is not migrated",
  async (t) => {
    const { clock, transfers, start, claimRun, ended } = handoverFixtures.setUpHandover(() => null);
    claimRun("q1");
    const target = start();
    await clock.runForMs(50);
    ended.abort();
    await clock.runForMs(2_000);
    t.equal(await target, null);
    t.equal(transfers.length, 0);
  },
);

tap.test("a failed migration leaves no claim", async (t) => {
  const { clock, claims, start } = handoverFixtures.setUpHandover(
    () => types.MemoryCopyFailure.NoCapacity,
  );
  const target = start();
  await clock.runForMs(2_000);
  t.equal(await target, null);
  t.same(
    claims.listByVm("vm-1").map(({ role }) => role),
    [dispatch.ClaimRole.Run],
    "only the run's own claim remains",
  );
});

tap.test("a target whose data centre is evacuated after the first copy is not used", async (t) => {
  let evacuated = null as string | null;
  const { directory, transfers, start } = handoverFixtures.setUpHandover((to) => {
    evacuated ??= directory.find(to)?.entry.dataCentre ?? "";
    directory.evacuations.apply(evacuated, true);
    return null;
  });
  const entries = [fixtures.createServerEntry("e2", 2), fixtures.createServerEntry("e3", 3)];
  for (const [index, entry] of entries.entries())
    directory.apply({ ...entry, dataCentre: `dc-${index === 0 ? "b" : "c"}`, sequence: 2 });
  const target = await start();
  t.ok(target !== null && target.server.dataCentre !== evacuated);
  t.same(
    transfers.map(({ stopsRun }) => stopsRun),
    [false, false, true],
    "the run is not stopped for the first target",
  );
});

import tap from "tap";

import * as plainReplays from "../plainReplay/index.js";

const OPTIONS = { vmsCount: 1, objectiveMs: 400, knowledgeAgeMs: 1_000, seed: 1 };
const FULL = { slotsCount: 1, placesCount: 0, workMs: 50 };

for (const isIdempotent of [false, true]) {
  // Guards against rejected calls that a stopping VM sends on when they can no longer end.
  tap.test(
    `a stopping VM sends no rejected call on, idempotent: ${String(isIdempotent)}`,
    async (t) => {
      const replay = new plainReplays.PlainReplay({ ...OPTIONS, isIdempotent, sendsUntilMs: 1 });
      for (const id of ["s1", "s2", "s3"]) replay.addServer(id, FULL);
      replay.call(0);
      await replay.clock.runForMs(1_000);
      const arrivalsCount = replay.servers.reduce((sum, server) => sum + server.arrivalsCount, 0);
      t.equal(arrivalsCount, 1);
      t.same(replay.statuses, [503], "it was not run, and its caller may come back");
    },
  );
}

tap.test("a stopping VM still hedges a call that a server may run", async (t) => {
  const replay = new plainReplays.PlainReplay({
    ...{ ...OPTIONS, isIdempotent: true, sendsUntilMs: 1 },
  });
  for (const id of ["s1", "s2"])
    replay.addServer(id, { slotsCount: 1, placesCount: 1, workMs: 500 });
  replay.call(0);
  await replay.clock.runForMs(3_000);
  const arrivalsCount = replay.servers.reduce((sum, server) => sum + server.arrivalsCount, 0);
  t.equal(arrivalsCount, 2, "only an answer helps its caller");
  t.same(replay.statuses, [200]);
});

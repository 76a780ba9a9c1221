import tap from "tap";

import * as fixtures from "../_lib/fixtures/index.js";
import * as dispatch from "../index.js";

function engines(prefix: string, dataCentre: string, count: number): dispatch.LocatedEngine[] {
  return Array.from({ length: count }, (_, index) => {
    return { serverId: `${prefix}-${index}`, dataCentre };
  });
}

tap.test("engines that leave together have targets of their own, in all VMs' views", async (t) => {
  const leaving = [...engines("left-a", "dc-a", 2), ...engines("left-b", "dc-b", 1)];
  const targets = [
    ...engines("a", "dc-a", 8),
    ...engines("b", "dc-b", 9),
    ...engines("c", "dc-c", 9),
  ];
  const seen = new Map<string, string>();
  for (const { serverId, dataCentre } of leaving) {
    const own = dispatch.divideTargets(leaving, targets, serverId);
    const inAnotherOrder = dispatch.divideTargets(leaving, targets.toReversed(), serverId);
    t.same([...own].sort(), [...inAnotherOrder].sort());
    t.ok(
      [...own].some((id) => id.startsWith(dataCentre.slice(3))),
      "some in its data centre",
    );
    for (const id of own) {
      t.notOk(seen.has(id), `${id} belongs to one engine`);
      seen.set(id, serverId);
    }
  }
  t.equal(seen.size, targets.length, "every target is used");
});

tap.test("an engine that leaves alone may use all targets", async (t) => {
  const alone = engines("left", "dc-a", 1);
  const targets = [...engines("a", "dc-a", 3), ...engines("b", "dc-b", 2)];
  t.equal(dispatch.divideTargets(alone, targets, "left-0").size, 5);
  t.equal(dispatch.divideTargets(alone, targets, "unknown").size, 0);
});

const NOTICE_MS = 1_500;
const LONGEST_PAUSE_MS = 180;
/** 2,700 Mbit/s and 18,432 bytes a token. */
const TOKENS_PER_MS = dispatch.estimateTransferRate((2_700 * 125) / 18_432);

interface Leaving extends dispatch.LocatedEngine {
  readonly runs: dispatch.MigratingRun[];
  freeAtMs: number;
}

/** Five long runs of an engine that leaves, in migration order. */
function createLeaving({ serverId, dataCentre }: dispatch.LocatedEngine): Leaving {
  const all = [2_100, 2_600, 3_000, 3_300, 4_200].map((promptTokens, index) => {
    return { requestId: `${serverId}-r${index}`, promptTokens, usedTokens: promptTokens + 400 };
  });
  const runs = all.sort(
    (left, right) =>
      dispatch.listPredecessors(all, left.requestId).length -
      dispatch.listPredecessors(all, right.requestId).length,
  );
  return { serverId, dataCentre, runs, freeAtMs: 0 };
}

tap.test("five engines that leave at once lose under 1 % of their streams", async (t) => {
  const located = [
    ...engines("left-a", "dc-a", 2),
    ...engines("left-b", "dc-b", 2),
    ...engines("left-c", "dc-c", 1),
  ];
  const leaving = located.map(createLeaving);
  const targets = ["a", "b", "c"].flatMap((name) =>
    engines(name, `dc-${name}`, 9).map((place) =>
      fixtures.engine({ ...place, committedTokens: 12_000, usedTokens: 9_000, runningCount: 3 }),
    ),
  );
  const linkFreeAtMs = new Map<string, number>();
  let lostCount = 0;
  let pausedCount = 0;
  for (let count = 0; count < 25; count += 1) {
    const busy = leaving.filter(({ runs }) => runs.length > 0);
    const from = busy.reduce((first, next) => (next.freeAtMs < first.freeAtMs ? next : first));
    const run = from.runs.shift()!;
    const ownIds = dispatch.divideTargets(located, targets, from.serverId);
    const own = targets.filter(({ serverId }) => ownIds.has(serverId));
    const { promptTokens, usedTokens } = run;
    const producedTokens = usedTokens - promptTokens;
    const { dataCentre } = from;
    const need = fixtures.need({ promptTokens, producedTokens, unreadTokens: 0, dataCentre });
    const target = dispatch.selectMigrationTarget(need, own, run.requestId);
    if (target === undefined) throw new Error("a target has capacity");
    const ratio = target.dataCentre === dataCentre ? 1 : 2;
    const beginAtMs = Math.max(from.freeAtMs, linkFreeAtMs.get(target.serverId) ?? 0);
    if (beginAtMs - from.freeAtMs > LONGEST_PAUSE_MS) pausedCount += 1;
    from.freeAtMs = beginAtMs + (ratio * usedTokens) / TOKENS_PER_MS;
    linkFreeAtMs.set(target.serverId, from.freeAtMs);
    if (from.freeAtMs > NOTICE_MS) lostCount += 1;
  }
  t.ok(lostCount / 25 < 0.01, `${lostCount} of 25 lost`);
  t.equal(pausedCount, 0, "no run waits for a link longer than its route's pause");
});

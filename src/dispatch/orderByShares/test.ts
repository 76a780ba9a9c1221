import tap from "tap";

import * as fixtures from "../_lib/fixtures/index.js";
import * as queueReplays from "../_lib/queueReplay/index.js";
import * as dispatch from "../index.js";

const NOW_MS = 10_000;

/** A dozen engines, which hold nine generations of `CHAT` each for some 9.6 s: 11 a second. */
const ENGINE_IDS = Array.from({ length: 12 }, (_, index) => `e${index}`);
const CAPACITY_PER_SECOND = 11;
const DURATION_MS = 40_000;

const CHAT: queueReplays.Stream = {
  accountName: "flood",
  priority: 1,
  ratePerSecond: 2 * CAPACITY_PER_SECOND,
  fromMs: 0,
  untilMs: DURATION_MS,
  promptTokens: 3_000,
  outputTokens: 750,
  objectiveMs: 1_800,
};

/** A queue of one generation of each name, the first one the oldest. */
function createQueue(names: readonly string[]): readonly dispatch.FleetWaiting[] {
  return names.map((accountName, index) =>
    fixtures.waiting({
      requestId: `r${index}`,
      accountName,
      enqueuedAtWallMs: NOW_MS - 100 + index,
      objectiveAtWallMs: NOW_MS + 1_000 + index,
    }),
  );
}

/** Claims of as many runs as are named, on one engine. */
function createRuns(names: readonly string[]): readonly dispatch.Claim[] {
  return names.map((accountName, index) =>
    fixtures.claim({ requestId: `run-${index}`, origin: { accountName, priority: 1 } }),
  );
}

const FULL = fixtures.engine({ committedTokens: 32_000, runningCount: 8 });

function idsOf(queue: readonly dispatch.FleetWaiting[]): readonly string[] {
  return queue.map(({ requestId }) => requestId);
}

for (const floodPriority of [1, 0]) {
  tap.test(
    `an account at a fifth of its share is served in time beside a flood of priority ${floodPriority} at twice the capacity`,
    async (t) => {
      const flood = { ...CHAT, priority: floodPriority };
      const ratePerSecond = CAPACITY_PER_SECOND / 2 / 5;
      const small = { ...CHAT, accountName: "small", ratePerSecond };
      const replay = new queueReplays.QueueReplay(ENGINE_IDS, [flood, small]);
      const outcomes = await replay.run(DURATION_MS);
      const { inTimeCount, sentCount } = outcomes.get(small)!;
      t.ok(inTimeCount >= 0.95 * sentCount, `${inTimeCount} of ${sentCount} in time`);
      const servedCount = outcomes.get(flood)!.servedCount + outcomes.get(small)!.servedCount;
      const alone = await new queueReplays.QueueReplay(ENGINE_IDS, [flood]).run(DURATION_MS);
      const aloneCount = alone.get(flood)!.servedCount;
      t.ok(servedCount >= 0.97 * aloneCount, `${servedCount} served, ${aloneCount} of one account`);
    },
  );
}

tap.test("neither a lower priority nor large generations of an account are starved", async (t) => {
  const flood = { ...CHAT, priority: 0 };
  const other = { ...CHAT, accountName: "other", priority: 0, ratePerSecond: 4 };
  const low = { ...CHAT, accountName: "other", priority: 2, ratePerSecond: 1 };
  const large = { ...low, promptTokens: 14_000, priority: 0, ratePerSecond: 0.2 };
  const streams = [flood, other, low, large];
  const outcomes = await new queueReplays.QueueReplay(ENGINE_IDS, streams).run(DURATION_MS);
  t.ok(outcomes.get(low)!.servedCount >= 5, `${outcomes.get(low)!.servedCount} of low priority`);
  t.ok(outcomes.get(large)!.servedCount >= 3, `${outcomes.get(large)!.servedCount} large ones`);
});

tap.test("what is beyond an account's share goes after what is within another's", async (t) => {
  const queue = createQueue(["flood", "flood", "small"]);
  const runs = createRuns(Array<string>(8).fill("flood"));
  const ordered = dispatch.orderByShares(queue, { engines: [FULL], runs }, NOW_MS);
  t.same(idsOf(ordered), ["r2", "r0", "r1"]);
});

tap.test("beyond the shares, the account that uses least goes first", async (t) => {
  const queue = createQueue(["a", "b", "b"]);
  const runs = createRuns([...Array<string>(5).fill("a"), ...Array<string>(4).fill("b")]);
  const ordered = dispatch.orderByShares(queue, { engines: [FULL], runs }, NOW_MS);
  t.same(idsOf(ordered), ["r1", "r0", "r2"]);
});

tap.test("the order is kept where shares have nothing to decide", async (t) => {
  const runs = createRuns(Array<string>(8).fill("flood"));
  const orderOf = (
    queue: readonly dispatch.FleetWaiting[],
    engine = FULL,
  ): readonly dispatch.FleetWaiting[] =>
    dispatch.orderByShares(queue, { engines: [engine], runs }, NOW_MS);
  const oneAccount = createQueue(["flood", "flood"]);
  t.equal(orderOf(oneAccount), oneAccount, "one account");
  const fitting = createQueue(["flood", "small"]);
  t.equal(orderOf(fitting, fixtures.engine()), fitting, "memory suffices");
  const unnamed = [...createQueue(["flood", "small"]), fixtures.waiting({ requestId: "old" })];
  t.equal(orderOf(unnamed), unnamed, "a VM of an earlier release names no accounts");
});

tap.test("continuations of streams go first, whosever they are", async (t) => {
  const [first, second] = createQueue(["small", "flood"]);
  const continuation = { ...second!, priority: -1 };
  const queue = [continuation, first!, ...createQueue(["flood"])];
  const runs = createRuns(Array<string>(8).fill("flood"));
  const ordered = dispatch.orderByShares(queue, { engines: [FULL], runs }, NOW_MS);
  t.equal(ordered[0], continuation);
});

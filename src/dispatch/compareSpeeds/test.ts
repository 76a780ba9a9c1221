import * as fastCheck from "fast-check";
import tap from "tap";

import * as dispatch from "../index.js";

/** Observations of an engine that takes `ratio` times the nominal time. */
function observed(
  serverId: string,
  ratio: number,
  weights: { readonly readingMs?: number; readonly writingMs?: number } = {},
): dispatch.ObservedSpeed {
  const { readingMs = 20_000, writingMs = 20_000 } = weights;
  const mean = Math.log(ratio);
  return {
    serverId,
    reading: { mean, weightMs: readingMs },
    writing: { mean, weightMs: writingMs },
    pauseTokens: [12, 12],
  };
}

tap.test("engines of unequal speed are told apart", async (t) => {
  const ratios = [1 / 0.7, 1 / 0.7, 1 / 1.7];
  const engines = ratios.map((ratio, index) => observed(`e${index}`, ratio));
  const speeds = dispatch.compareSpeeds(engines);
  const quotient = (speeds.get("e0")?.writingRatio ?? 0) / (speeds.get("e2")?.writingRatio ?? 1);
  t.ok(Math.abs(quotient - 1.7 / 0.7) < 0.3, `quotient ${quotient}`);
  t.ok((speeds.get("e0")?.readingRatio ?? 0) > 1.2);
  t.ok((speeds.get("e2")?.readingRatio ?? 1) < 0.8);
});

tap.test("engines of equal speed have the ratio 1, whatever it is", async (t) => {
  for (const ratio of [0.4, 1, 2.5]) {
    const engines = [0.95, 1, 1.05].map((part, index) => observed(`e${index}`, part * ratio));
    for (const { readingRatio, writingRatio } of dispatch.compareSpeeds(engines).values())
      t.same([readingRatio, writingRatio], [1, 1]);
  }
});

tap.test("few observations do not make an engine slow", async (t) => {
  const known = [observed("e1", 1), observed("e2", 1)];
  const speeds = dispatch.compareSpeeds([
    ...known,
    observed("new", 2.5, { readingMs: 100, writingMs: 150 }),
  ]);
  t.equal(speeds.get("new")?.writingRatio, 1);
});

tap.test("reading and writing are assumed to be alike until both are observed", async (t) => {
  for (const weights of [{ readingMs: 0 }, { writingMs: 0 }]) {
    const half = observed("e1", 2, weights);
    const speed = dispatch.compareSpeeds([half, observed("e2", 0.5), observed("e3", 1)]).get("e1");
    t.ok(speed !== undefined && speed.readingRatio > 1.3 && speed.writingRatio > 1.3);
  }
});

tap.test("a slow engine is known for long pauses before it was seen to pause", async (t) => {
  const fast = ["f1", "f2", "f3"].map((serverId) => observed(serverId, 0.4));
  const slow = { ...observed("slow", 1.2), pauseTokens: [] };
  const speeds = dispatch.compareSpeeds([...fast, slow]);
  const runsOf = (id: string): number => dispatch.countSmoothRuns(speeds.get(id)!, 150);
  t.ok(runsOf("f1") >= 24, "its pauses are under the bound with all slots in use");
  t.equal(runsOf("slow"), 0);
  const [outlier, ...others] = fast;
  const paused = dispatch.compareSpeeds([{ ...outlier!, pauseTokens: [90] }, ...others, slow]);
  t.equal(paused.get("f1")?.pauseMs, speeds.get("f1")?.pauseMs, "one VM that paused itself");
});

tap.test("an engine gets no more runs than keep its pauses under the bound", async (t) => {
  const speedOf = (pauseMs: number): dispatch.EngineSpeed => {
    return { ...dispatch.TYPICAL_SPEED, pauseMs };
  };
  t.equal(dispatch.countSmoothRuns(speedOf(150), null), Infinity, "the route sets none");
  t.equal(dispatch.countSmoothRuns(dispatch.TYPICAL_SPEED, 180), Infinity, "nothing is known");
  t.equal(dispatch.countSmoothRuns(speedOf(300), 180), 0, "a stream alone pauses for too long");
  await fastCheck.assert(
    fastCheck.asyncProperty(fastCheck.integer({ min: 60, max: 175 }), async (pauseMs) => {
      const runsCount = dispatch.countSmoothRuns(speedOf(pauseMs), 180);
      if (runsCount > 0) t.ok(pauseMs * dispatch.computePauseGrowth(runsCount) <= 180);
      t.ok(pauseMs * dispatch.computePauseGrowth(runsCount + 1) > 180);
    }),
    { seed: 5, numRuns: 50 },
  );
});

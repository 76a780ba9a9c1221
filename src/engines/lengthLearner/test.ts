import tap from "tap";

import * as catalogue from "../../catalogue/types.js";
import * as randoms from "../../_lib/random/index.js";
import type * as types from "../types.js";
import * as learners from "./index.js";

function need(overrides: Partial<types.GenerationNeed> = {}): types.GenerationNeed {
  return {
    requestId: "r",
    entryName: "report",
    accountName: "a",
    class: catalogue.RequestClass.Batch,
    model: "m",
    version: "1",
    adapter: null,
    promptTokens: 100,
    prefixHashes: [],
    producedTokens: 0,
    maxTokens: 8_000,
    acceptedAtMs: 0,
    deadlineAtMs: 1_000_000,
    ...overrides,
  };
}

function meanOf(learner: learners.LengthLearner, who = need(), producedTokens = 0): number {
  return learner.distributionFor(who).residual(producedTokens, who.maxTokens).meanTokens;
}

function observeMany(
  learner: learners.LengthLearner,
  count: number,
  tokens: number,
  who = need(),
): void {
  for (let index = 0; index < count; index += 1) learner.observe(who, tokens);
}

tap.test("with no data every estimate is within the declared maximum", (t) => {
  const learner = new learners.LengthLearner();
  for (const maxTokens of [1, 64, 8_000, 100_000]) {
    const { meanTokens, deviationTokens } = learner.distributionFor(need()).residual(0, maxTokens);
    t.ok(meanTokens > 0 && meanTokens <= maxTokens, `${meanTokens} of ${maxTokens}`);
    t.ok(Number.isFinite(deviationTokens));
  }
  t.end();
});

tap.test("the estimate comes close to a known exponential distribution, at any progress", (t) => {
  const learner = new learners.LengthLearner();
  const random = randoms.createRandom(3);
  const meanTokens = 500;
  for (let index = 0; index < 5_000; index += 1) {
    learner.observe(need(), Math.max(1, Math.round(-meanTokens * Math.log(1 - random.next()))));
  }
  for (const produced of [0, 200, 1_000]) {
    const estimate = meanOf(learner, need(), produced);
    t.ok(Math.abs(estimate - meanTokens) < meanTokens * 0.3, `${estimate} after ${produced}`);
  }
  t.end();
});

tap.test("a generation that outlives all that was seen is expected to go on", (t) => {
  const learner = new learners.LengthLearner();
  observeMany(learner, 500, 100);
  const rest = meanOf(learner, need(), 2_000);
  t.ok(rest > 500, `${rest}`);
  t.ok(rest <= 6_000);
  t.end();
});

tap.test("quantiles grow with the probability and stay within the maximum", (t) => {
  const learner = new learners.LengthLearner();
  for (let index = 1; index <= 1_000; index += 1) learner.observe(need(), index);
  const lengths = learner.distributionFor(need());
  const [low = 0, median = 0, high = 0] = [0.1, 0.5, 0.9].map((probability) =>
    lengths.residualQuantile(0, 8_000, probability),
  );
  t.ok(low < median && median < high);
  t.ok(Math.abs(median - 500) < 150, `${median}`);
  t.ok(lengths.residualQuantile(0, 300, 0.99) <= 300);
  t.end();
});

tap.test("an account that is different gets its own estimate, the others keep theirs", (t) => {
  const learner = new learners.LengthLearner();
  const odd = need({ accountName: "odd" });
  observeMany(learner, 300, 100);
  observeMany(learner, 60, 3_000, odd);
  t.ok(meanOf(learner, odd) > 2_000, `${meanOf(learner, odd)}`);
  t.ok(meanOf(learner) < 400, `${meanOf(learner)}`);
  t.end();
});

tap.test("a shifted distribution is followed within some hundred observations", (t) => {
  const learner = new learners.LengthLearner();
  observeMany(learner, 5_000, 100);
  observeMany(learner, 800, 1_000);
  t.ok(meanOf(learner) > 550, `${meanOf(learner)}`);
  t.end();
});

tap.test("a new entry starts from what its model's other entries do", (t) => {
  const learner = new learners.LengthLearner();
  observeMany(learner, 300, 40);
  const fresh = need({ entryName: "fresh" });
  t.ok(meanOf(learner, fresh) < 400, `${meanOf(learner, fresh)}`);
  t.end();
});

tap.test(
  "a VM that merges another's observations estimates alike, and tells them only once",
  (t) => {
    const teller = new learners.LengthLearner();
    const listener = new learners.LengthLearner();
    observeMany(teller, 300, 700);
    listener.merge(teller.takeObservations());
    t.ok(Math.abs(meanOf(listener) - meanOf(teller)) < 150, `${meanOf(listener)}`);
    t.same(teller.takeObservations(), {});
    t.same(listener.takeObservations(), {}, "what was merged is not passed on");
    t.end();
  },
);

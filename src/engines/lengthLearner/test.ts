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

function meanOf(
  learner: learners.LengthLearner,
  generationNeed = need(),
  producedTokens = 0,
): number {
  return learner.distributionFor(generationNeed).residual(producedTokens, generationNeed.maxTokens)
    .meanTokens;
}

function observeMany(
  learner: learners.LengthLearner,
  count: number,
  tokens: number,
  generationNeed = need(),
): void {
  for (let index = 0; index < count; index += 1) learner.observe(generationNeed, tokens);
}

tap.test("without observations every estimate is within the declared maximum", (t) => {
  const learner = new learners.LengthLearner();
  for (const maxTokens of [1, 64, 8_000, 100_000]) {
    const { meanTokens, deviationTokens } = learner.distributionFor(need()).residual(0, maxTokens);
    t.ok(meanTokens > 0 && meanTokens <= maxTokens, `${meanTokens} of ${maxTokens}`);
    t.ok(Number.isFinite(deviationTokens));
  }
  t.end();
});

tap.test("the estimate approximates a known exponential distribution at any progress", (t) => {
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

tap.test("a generation longer than any observed one has a positive remaining output", (t) => {
  const learner = new learners.LengthLearner();
  observeMany(learner, 500, 100);
  const remainingTokens = meanOf(learner, need(), 2_000);
  t.ok(remainingTokens > 500, `${remainingTokens}`);
  t.ok(remainingTokens <= 6_000);
  t.end();
});

tap.test("quantiles increase with the probability and stay within the maximum", (t) => {
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

tap.test(
  "an account with different lengths gets its own estimate without affecting others",
  (t) => {
    const learner = new learners.LengthLearner();
    const longAccount = need({ accountName: "longAccount" });
    observeMany(learner, 300, 100);
    observeMany(learner, 60, 3_000, longAccount);
    t.ok(meanOf(learner, longAccount) > 2_000, `${meanOf(learner, longAccount)}`);
    t.ok(meanOf(learner) < 400, `${meanOf(learner)}`);
    t.end();
  },
);

tap.test("the estimate follows a changed distribution within 800 observations", (t) => {
  const learner = new learners.LengthLearner();
  observeMany(learner, 5_000, 100);
  observeMany(learner, 800, 1_000);
  t.ok(meanOf(learner) > 550, `${meanOf(learner)}`);
  t.end();
});

tap.test("a new entry starts from the lengths of its model's other entries", (t) => {
  const learner = new learners.LengthLearner();
  observeMany(learner, 300, 40);
  const fresh = need({ entryName: "fresh" });
  t.ok(meanOf(learner, fresh) < 400, `${meanOf(learner, fresh)}`);
  t.end();
});

tap.test(
  "merging another VM's observations gives similar estimates, and each observation is sent once",
  (t) => {
    const sender = new learners.LengthLearner();
    const receiver = new learners.LengthLearner();
    observeMany(sender, 300, 700);
    receiver.merge(sender.takeObservations());
    t.ok(Math.abs(meanOf(receiver) - meanOf(sender)) < 150, `${meanOf(receiver)}`);
    t.same(sender.takeObservations(), {});
    t.same(receiver.takeObservations(), {}, "merged observations are not forwarded");
    t.end();
  },
);

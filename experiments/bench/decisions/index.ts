import * as perfHooks from "node:perf_hooks";

import * as catalogue from "../../../src/catalogue/types.js";
import * as engines from "../../../src/engines/index.js";
import * as randoms from "../../../src/_lib/random/index.js";

const ENGINE_COUNTS = [25, 1_000];
const RUNNING_PER_ENGINE_COUNT = 500;
const CAPACITY_TOKENS = 1_500_000;
const CALLS_COUNT = 20_000;
const WARM_UP_CALLS_COUNT = 2_000;
const NANOSECONDS_PER_MS = 1_000_000;

/** The mean time of one call of a decision function for a given number of engines. */
interface DecisionCost {
  readonly decision: string;
  readonly enginesCount: number;
  readonly callTimeNs: number;
}

interface Fixture {
  readonly learner: engines.LengthLearner;
  readonly schedulers: readonly engines.EngineScheduler[];
  readonly views: readonly engines.EngineView[];
  readonly random: randoms.RandomSource;
}

type Decision = (fixture: Fixture, call: number) => void;

const DECISIONS: Readonly<Record<string, Decision>> = {
  admit: (fixture, call) => {
    schedulerForCall(fixture, call).admit(createNeed(call), call);
  },
  progress: (fixture, call) => {
    const slot = call % RUNNING_PER_ENGINE_COUNT;
    schedulerForCall(fixture, call).onProgress(requestIdOf(slot), 1_000 + call, call);
  },
  choose: (fixture, call) => {
    engines.selectEngine(createNeed(call), fixture.views, {
      dataCentre: "tln-a",
      random: fixture.random,
    });
  },
  estimate: (fixture, call) => {
    const need = createNeed(call);
    fixture.learner.distributionFor(need).residual(call % 4_000, need.maxTokens);
  },
};

/**
 * Measures the frequent scheduling decisions and prints the time per call and its growth with the
 * engine count.
 */
export function benchDecisions(): void {
  const costs = ENGINE_COUNTS.flatMap(measureDecisions);
  process.stdout.write(`${RUNNING_PER_ENGINE_COUNT} running generations per engine; ns per call\n`);
  for (const decision of Object.keys(DECISIONS)) {
    const decisionCosts = costs.filter((cost) => cost.decision === decision);
    const growth = (decisionCosts.at(-1)?.callTimeNs ?? 0) / (decisionCosts[0]?.callTimeNs ?? 1);
    const cells = decisionCosts.map(
      (cost) => `${cost.enginesCount} engines: ${cost.callTimeNs} ns`,
    );
    process.stdout.write(`${decision}: ${cells.join(", ")}, growth x${growth.toFixed(1)}\n`);
  }
}

function measureDecisions(enginesCount: number): readonly DecisionCost[] {
  const fixture = createFixture(enginesCount);
  return Object.entries(DECISIONS).map(([decision, decide]) => {
    for (let call = 0; call < WARM_UP_CALLS_COUNT; call += 1) decide(fixture, call);
    const startMs = perfHooks.performance.now();
    for (let call = 0; call < CALLS_COUNT; call += 1) decide(fixture, call);
    const elapsedMs = perfHooks.performance.now() - startMs;
    const callTimeNs = Math.round((elapsedMs * NANOSECONDS_PER_MS) / CALLS_COUNT);
    return { decision, enginesCount, callTimeNs };
  });
}

function createFixture(enginesCount: number): Fixture {
  const random = randoms.createRandom(1);
  const learner = new engines.LengthLearner();
  for (let call = 0; call < 1_000; call += 1) learner.observe(createNeed(call), 1 + call * 3);
  const schedulers = Array.from({ length: enginesCount }, (_, index) =>
    createScheduler(`engine-${index}`, learner),
  );
  const views = schedulers.map((scheduler) => ({
    ...scheduler.view(0),
    loadedModels: [{ model: "m", version: "1", adapters: [] }],
  }));
  return { learner, schedulers, views, random };
}

function createScheduler(name: string, learner: engines.LengthLearner): engines.EngineScheduler {
  const scheduler = new engines.EngineScheduler({
    engineName: name,
    dataCentre: "tln-a",
    capacityTokens: CAPACITY_TOKENS,
    maxRunningCount: RUNNING_PER_ENGINE_COUNT + 1,
    lengths: learner,
    interTokenBoundMsOf: () => 60,
  });
  for (let slot = 0; slot < RUNNING_PER_ENGINE_COUNT; slot += 1) {
    scheduler.onStarted({ ...createNeed(slot), requestId: requestIdOf(slot) }, 0);
  }
  return scheduler;
}

function schedulerForCall(fixture: Fixture, call: number): engines.EngineScheduler {
  const scheduler = fixture.schedulers[call % fixture.schedulers.length];
  if (scheduler === undefined) throw new RangeError("the fixture has no engines");
  return scheduler;
}

function requestIdOf(slot: number): string {
  return `running-${slot}`;
}

function createNeed(call: number): engines.GenerationNeed {
  return {
    requestId: "new",
    entryName: "draft",
    accountName: `account-${call % 40}`,
    class: catalogue.RequestClass.Streaming,
    model: "m",
    version: "1",
    adapter: null,
    promptTokens: 300,
    prefixHashes: [],
    producedTokens: 0,
    maxTokens: 8_192,
    acceptedAtMs: 0,
    deadlineAtMs: Number.MAX_SAFE_INTEGER,
  };
}

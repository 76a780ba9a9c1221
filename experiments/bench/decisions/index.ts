import * as perfHooks from "node:perf_hooks";

import * as catalogue from "../../../src/catalogue/types.js";
import * as engines from "../../../src/engines/index.js";
import * as randoms from "../../../src/_lib/random/index.js";

const ENGINE_COUNTS = [25, 1_000];
const RUNNING_PER_ENGINE = 500;
const CAPACITY_TOKENS = 1_500_000;
const CALLS_COUNT = 20_000;
const WARM_UP_CALLS_COUNT = 2_000;
const NANOSECONDS_PER_MS = 1_000_000;

/** What one call costs with so many engines. */
interface Cost {
  readonly decision: string;
  readonly enginesCount: number;
  readonly nanoseconds: number;
}

interface Setting {
  readonly learner: engines.LengthLearner;
  readonly schedulers: readonly engines.EngineScheduler[];
  readonly views: readonly engines.EngineView[];
  readonly random: randoms.RandomSource;
}

type Decision = (setting: Setting, call: number) => void;

const DECISIONS: Readonly<Record<string, Decision>> = {
  admit: (setting, call) => {
    schedulerAt(setting, call).admit(needAt(call), call);
  },
  progress: (setting, call) => {
    const slot = call % RUNNING_PER_ENGINE;
    schedulerAt(setting, call).onProgress(requestIdOf(slot), 1_000 + call, call);
  },
  choose: (setting, call) => {
    engines.selectEngine(needAt(call), setting.views, {
      dataCentre: "tln-a",
      random: setting.random,
    });
  },
  estimate: (setting, call) => {
    const need = needAt(call);
    setting.learner.distributionFor(need).residual(call % 4_000, need.maxTokens);
  },
};

/** Prints what the hot decisions cost per call, and how the cost grows with the engines. */
export function benchDecisions(): void {
  const costs = ENGINE_COUNTS.flatMap(measureAll);
  process.stdout.write(`${RUNNING_PER_ENGINE} running generations per engine; ns per call\n`);
  for (const decision of Object.keys(DECISIONS)) {
    const own = costs.filter((cost) => cost.decision === decision);
    const growth = (own.at(-1)?.nanoseconds ?? 0) / (own[0]?.nanoseconds ?? 1);
    const cells = own.map((cost) => `${cost.enginesCount} engines: ${cost.nanoseconds} ns`);
    process.stdout.write(`${decision}: ${cells.join(", ")}, growth x${growth.toFixed(1)}\n`);
  }
}

function measureAll(enginesCount: number): readonly Cost[] {
  const setting = createSetting(enginesCount);
  return Object.entries(DECISIONS).map(([decision, decide]) => {
    for (let call = 0; call < WARM_UP_CALLS_COUNT; call += 1) decide(setting, call);
    const startMs = perfHooks.performance.now();
    for (let call = 0; call < CALLS_COUNT; call += 1) decide(setting, call);
    const elapsedMs = perfHooks.performance.now() - startMs;
    const nanoseconds = Math.round((elapsedMs * NANOSECONDS_PER_MS) / CALLS_COUNT);
    return { decision, enginesCount, nanoseconds };
  });
}

function createSetting(enginesCount: number): Setting {
  const random = randoms.createRandom(1);
  const learner = new engines.LengthLearner();
  for (let call = 0; call < 1_000; call += 1) learner.observe(needAt(call), 1 + call * 3);
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
    maxRunningCount: RUNNING_PER_ENGINE + 1,
    lengths: learner,
    interTokenBoundMsOf: () => 60,
  });
  for (let slot = 0; slot < RUNNING_PER_ENGINE; slot += 1) {
    scheduler.onStarted({ ...needAt(slot), requestId: requestIdOf(slot) }, 0);
  }
  return scheduler;
}

function schedulerAt(setting: Setting, call: number): engines.EngineScheduler {
  const scheduler = setting.schedulers[call % setting.schedulers.length];
  if (scheduler === undefined) throw new RangeError("no engines");
  return scheduler;
}

function requestIdOf(slot: number): string {
  return `running-${slot}`;
}

function needAt(call: number): engines.GenerationNeed {
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

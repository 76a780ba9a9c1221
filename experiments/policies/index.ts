import * as engines from "../../src/engines/index.js";
import type * as engineTypes from "../../src/engines/types.js";
import type * as randoms from "../../src/_lib/random/index.js";
import * as fixedReservations from "../fixedReservation/index.js";
import * as knownLengths from "../knownLengths/index.js";

/** Where a request waits while its engine has no capacity. */
export enum Binding {
  /** At the entry VM, without a fixed engine. */
  Late = "late",
  /** At the home of the engine that was selected first. */
  Early = "early",
}

/** Input for the creation of an engine's scheduler. */
export interface SchedulerContext extends engines.EngineSchedulerOptions {
  readonly trueTokensOf: (requestId: string) => number;
}

type EngineSelector = (
  need: engines.GenerationNeed,
  views: readonly engines.EngineView[],
  options: engines.SelectEngineOptions,
) => engines.EngineChoice | null;

/** A policy for engine selection and admission. */
export interface Policy {
  readonly name: string;
  readonly binding: Binding;
  readonly createScheduler: (context: SchedulerContext) => engineTypes.EngineScheduler;
  readonly selectEngine: EngineSelector;
}

type SchedulerFactory = Policy["createScheduler"];

const createForecastScheduler: SchedulerFactory = (context) => new engines.EngineScheduler(context);

const createOracleScheduler: SchedulerFactory = (context) =>
  new engines.EngineScheduler({
    ...context,
    lengths: new knownLengths.KnownLengths(context.trueTokensOf),
  });

const createUnreservedScheduler: SchedulerFactory = (context) =>
  new fixedReservations.FixedReservationScheduler(context, () => 0);

const createMaxTokensScheduler: SchedulerFactory = (context) =>
  new fixedReservations.FixedReservationScheduler(
    context,
    (need) => need.promptTokens + need.maxTokens,
  );

const selectRandomEngine: EngineSelector = (need, views, options) =>
  selectRandomView(listUsableViews(need, views), options.random, "selected at random");

/**
 * Selects the engine with the fewest outstanding requests: those in its last report and those sent
 * since.
 */
const selectLeastLoadedEngine: EngineSelector = (need, views, options) => {
  const usable = listUsableViews(need, views);
  const least = Math.min(...usable.map(countOutstanding));
  const leastLoaded = usable.filter((view) => countOutstanding(view) === least);
  return selectRandomView(leastLoaded, options.random, `fewest outstanding requests: ${least}`);
};

const ALL_POLICIES: readonly Policy[] = [
  {
    name: "random",
    binding: Binding.Late,
    createScheduler: createUnreservedScheduler,
    selectEngine: selectRandomEngine,
  },
  {
    name: "least-loaded",
    binding: Binding.Late,
    createScheduler: createUnreservedScheduler,
    selectEngine: selectLeastLoadedEngine,
  },
  {
    name: "max-tokens",
    binding: Binding.Late,
    createScheduler: createMaxTokensScheduler,
    selectEngine: engines.selectEngine,
  },
  {
    name: "oracle",
    binding: Binding.Late,
    createScheduler: createOracleScheduler,
    selectEngine: engines.selectEngine,
  },
  {
    name: "chiveferry",
    binding: Binding.Late,
    createScheduler: createForecastScheduler,
    selectEngine: engines.selectEngine,
  },
  {
    name: "chiveferry-early-binding",
    binding: Binding.Early,
    createScheduler: createForecastScheduler,
    selectEngine: engines.selectEngine,
  },
];

/** All policies by name. */
export const POLICIES: ReadonlyMap<string, Policy> = new Map(
  ALL_POLICIES.map((item) => [item.name, item]),
);

function listUsableViews(
  need: engines.GenerationNeed,
  views: readonly engines.EngineView[],
): readonly engines.EngineView[] {
  return views.filter(
    (view) =>
      view.health === engines.EngineHealth.Live && engines.hasModelLoaded(view.loadedModels, need),
  );
}

function countOutstanding(view: engines.EngineView): number {
  return view.runningCount + view.waitingCount + view.sentSinceCount;
}

function selectRandomView(
  views: readonly engines.EngineView[],
  random: randoms.RandomSource,
  reason: string,
): engines.EngineChoice | null {
  const view = views[Math.floor(random.next() * views.length)];
  return view === undefined ? null : { engineName: view.name, reason };
}

import * as engines from "../../src/engines/index.js";
import type * as engineTypes from "../../src/engines/types.js";
import type * as randoms from "../../src/_lib/random/index.js";
import * as fixedReservations from "../fixedReservation/index.js";
import * as knownLengths from "../knownLengths/index.js";

/** Where work waits that finds no room. */
export enum Binding {
  /** At the entry VM, free for any engine. */
  Late = "late",
  /** At the home of the engine that was chosen first. */
  Early = "early",
}

/** What a policy knows when it prepares an engine's scheduler. */
export interface SchedulerContext extends engines.EngineSchedulerOptions {
  readonly trueTokensOf: (requestId: string) => number;
}

type ChooseEngine = (
  need: engines.GenerationNeed,
  views: readonly engines.EngineView[],
  options: engines.SelectEngineOptions,
) => engines.EngineChoice | null;

/** One way to decide about engines. */
export interface Policy {
  readonly name: string;
  readonly binding: Binding;
  readonly createScheduler: (context: SchedulerContext) => engineTypes.EngineScheduler;
  readonly chooseEngine: ChooseEngine;
}

type SchedulerFactory = Policy["createScheduler"];

const scheduleByForecast: SchedulerFactory = (context) => new engines.EngineScheduler(context);

const scheduleByTruth: SchedulerFactory = (context) =>
  new engines.EngineScheduler({
    ...context,
    lengths: new knownLengths.KnownLengths(context.trueTokensOf),
  });

const reserveNothing: SchedulerFactory = (context) =>
  new fixedReservations.FixedReservationScheduler(context, () => 0);

const reserveMaximum: SchedulerFactory = (context) =>
  new fixedReservations.FixedReservationScheduler(
    context,
    (need) => need.promptTokens + need.maxTokens,
  );

const chooseAtRandom: ChooseEngine = (need, views, options) =>
  drawOne(usableViews(need, views), options.random, "drawn at random");

/** The engine with the least outstanding work by its last report and by what was sent since. */
const chooseLeastLoaded: ChooseEngine = (need, views, options) => {
  const usable = usableViews(need, views);
  const least = Math.min(...usable.map(outstandingCount));
  const equals = usable.filter((view) => outstandingCount(view) === least);
  return drawOne(equals, options.random, `least outstanding: ${least}`);
};

const ALL: readonly Policy[] = [
  {
    name: "random",
    binding: Binding.Late,
    createScheduler: reserveNothing,
    chooseEngine: chooseAtRandom,
  },
  {
    name: "least-loaded",
    binding: Binding.Late,
    createScheduler: reserveNothing,
    chooseEngine: chooseLeastLoaded,
  },
  {
    name: "max-tokens",
    binding: Binding.Late,
    createScheduler: reserveMaximum,
    chooseEngine: engines.selectEngine,
  },
  {
    name: "oracle",
    binding: Binding.Late,
    createScheduler: scheduleByTruth,
    chooseEngine: engines.selectEngine,
  },
  {
    name: "chiveferry",
    binding: Binding.Late,
    createScheduler: scheduleByForecast,
    chooseEngine: engines.selectEngine,
  },
  {
    name: "chiveferry-early-binding",
    binding: Binding.Early,
    createScheduler: scheduleByForecast,
    chooseEngine: engines.selectEngine,
  },
];

/** The policies by name. */
export const POLICIES: ReadonlyMap<string, Policy> = new Map(ALL.map((item) => [item.name, item]));

function usableViews(
  need: engines.GenerationNeed,
  views: readonly engines.EngineView[],
): readonly engines.EngineView[] {
  return views.filter(
    (view) =>
      view.health === engines.EngineHealth.Live && engines.hasModelLoaded(view.loadedModels, need),
  );
}

function outstandingCount(view: engines.EngineView): number {
  return view.runningCount + view.waitingCount + view.sentSinceCount;
}

function drawOne(
  views: readonly engines.EngineView[],
  random: randoms.RandomSource,
  reason: string,
): engines.EngineChoice | null {
  const view = views[Math.floor(random.next() * views.length)];
  return view === undefined ? null : { engineName: view.name, reason };
}

import * as types from "../types.js";
import * as workloads from "../workload/index.js";

const DURATION_MS = 600_000;
const VIEW_INTERVAL_MS = 200;
const STALE_VIEW_INTERVAL_MS = 2_000;

/** Part of the run, as fractions of its duration, in which a spike multiplies the arrival rate. */
const SPIKE = { from: 0.4, to: 0.5, factor: 3 };

/** Fraction of the run after which outputs are longer, and the factor on their length. */
const LENGTH_SHIFT = { from: 0.4, factor: 1.8 };

function createExperiment(
  name: string,
  workload: types.Workload,
  overrides: Partial<types.Experiment> = {},
): types.Experiment {
  return {
    name,
    workload,
    durationMs: DURATION_MS,
    disturbances: [],
    arrivalRateFactorAt: () => 1,
    outputLengthFactorAt: () => 1,
    viewIntervalMs: VIEW_INTERVAL_MS,
    ...overrides,
  };
}

function createDisturbances(kind: types.DisturbanceKind): readonly types.Disturbance[] {
  return [
    { kind, atMs: DURATION_MS * 0.3, engineIndex: 0 },
    { kind, atMs: DURATION_MS * 0.6, engineIndex: 3 },
  ];
}

const ALL_EXPERIMENTS: readonly types.Experiment[] = [
  createExperiment("varahoidja", workloads.VARAHOIDJA),
  createExperiment("gauja", workloads.GAUJA),
  createExperiment("spike", workloads.VARAHOIDJA, {
    arrivalRateFactorAt: (progress) =>
      progress >= SPIKE.from && progress < SPIKE.to ? SPIKE.factor : 1,
  }),
  createExperiment("length-shift", workloads.VARAHOIDJA, {
    outputLengthFactorAt: (progress) => (progress < LENGTH_SHIFT.from ? 1 : LENGTH_SHIFT.factor),
  }),
  createExperiment("engine-loss", workloads.VARAHOIDJA, {
    disturbances: createDisturbances(types.DisturbanceKind.EngineLoss),
  }),
  createExperiment("reclaim", workloads.GAUJA, {
    disturbances: createDisturbances(types.DisturbanceKind.Reclaim),
  }),
  createExperiment("stale-reports", workloads.GAUJA, { viewIntervalMs: STALE_VIEW_INTERVAL_MS }),
  createExperiment("herding", { ...workloads.VARAHOIDJA, vmsCount: 24 }, { viewIntervalMs: 1_000 }),
];

/** All experiments by name. */
export const EXPERIMENTS: ReadonlyMap<string, types.Experiment> = new Map(
  ALL_EXPERIMENTS.map((item) => [item.name, item]),
);

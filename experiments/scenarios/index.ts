import * as types from "../types.js";
import * as workloads from "../workload/index.js";

const DURATION_MS = 600_000;
const VIEW_INTERVAL_MS = 200;
const STALE_VIEW_INTERVAL_MS = 2_000;

/** Part of the run in which a spike multiplies the arrivals. */
const SPIKE = { from: 0.4, to: 0.5, factor: 3 };

/** From here on the outputs of a shifted run are longer. */
const SHIFT = { from: 0.4, factor: 1.8 };

function experiment(
  name: string,
  workload: types.Workload,
  overrides: Partial<types.Experiment> = {},
): types.Experiment {
  return {
    name,
    workload,
    durationMs: DURATION_MS,
    disturbances: [],
    rateAt: () => 1,
    lengthFactorAt: () => 1,
    viewIntervalMs: VIEW_INTERVAL_MS,
    ...overrides,
  };
}

function disturb(kind: types.DisturbanceKind): readonly types.Disturbance[] {
  return [
    { kind, atMs: DURATION_MS * 0.3, engineIndex: 0 },
    { kind, atMs: DURATION_MS * 0.6, engineIndex: 3 },
  ];
}

const ALL: readonly types.Experiment[] = [
  experiment("varahoidja", workloads.VARAHOIDJA),
  experiment("gauja", workloads.GAUJA),
  experiment("spike", workloads.VARAHOIDJA, {
    rateAt: (progress) => (progress >= SPIKE.from && progress < SPIKE.to ? SPIKE.factor : 1),
  }),
  experiment("length-shift", workloads.VARAHOIDJA, {
    lengthFactorAt: (progress) => (progress < SHIFT.from ? 1 : SHIFT.factor),
  }),
  experiment("engine-loss", workloads.VARAHOIDJA, {
    disturbances: disturb(types.DisturbanceKind.EngineLoss),
  }),
  experiment("reclaim", workloads.GAUJA, { disturbances: disturb(types.DisturbanceKind.Reclaim) }),
  experiment("stale-reports", workloads.GAUJA, { viewIntervalMs: STALE_VIEW_INTERVAL_MS }),
  experiment("herding", { ...workloads.VARAHOIDJA, vmsCount: 24 }, { viewIntervalMs: 1_000 }),
];

/** The experiments by name. */
export const EXPERIMENTS: ReadonlyMap<string, types.Experiment> = new Map(
  ALL.map((item) => [item.name, item]),
);

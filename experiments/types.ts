import type * as catalogue from "../src/catalogue/types.js";
import type * as engineTypes from "../standins/engine/types.js";

/** A distribution of token counts: lognormal, with a Pareto tail for a share of the draws. */
export interface TokenDistribution {
  readonly medianTokens: number;
  /** Standard deviation of the logarithm. */
  readonly logStandardDeviation: number;
  /** Share of the draws that come from the Pareto tail. */
  readonly tailRatio: number;
  /** Minimum of the Pareto tail. */
  readonly tailMinTokens: number;
  /** Exponent of the Pareto tail. */
  readonly tailExponent: number;
  readonly maxTokens: number;
}

/** A catalogue entry of a workload, with the distribution of its requests. */
export interface WorkloadEntry {
  readonly name: string;
  readonly class: catalogue.RequestClass;
  readonly model: string;
  /** Share of all requests. */
  readonly ratio: number;
  readonly prompt: TokenDistribution;
  readonly output: TokenDistribution;
  /** Values of the maximum output that callers declare; one is drawn for each request. */
  readonly declaredMaxTokens: readonly number[];
  readonly deadlineMs: number;
  /** Bound on the time between tokens; null if no person reads the output as it streams. */
  readonly interTokenBoundMs: number | null;
}

/** A group of identical engines. */
export interface EngineGroup {
  readonly model: string;
  readonly count: number;
  readonly engine: EngineParameters;
}

/** Parameters of the engines of a group. */
export type EngineParameters = Omit<
  engineTypes.EngineModelOptions,
  "name" | "loadedModels" | "lengthOf" | "promptTokensOf"
>;

/** The requests, client accounts, VMs and engines of an experiment. */
export interface Workload {
  readonly name: string;
  readonly entries: readonly WorkloadEntry[];
  readonly groups: readonly EngineGroup[];
  readonly dataCentres: readonly string[];
  readonly vmsCount: number;
  /** Relative request rate of each client account. */
  readonly accountWeights: readonly number[];
}

/**
 * One request of a run, including its true output length, which schedulers do not know in advance.
 */
export interface PlannedRequest {
  readonly requestId: string;
  readonly atMs: number;
  readonly entry: WorkloadEntry;
  readonly accountName: string;
  readonly vmIndex: number;
  readonly promptTokens: number;
  readonly maxTokens: number;
  readonly trueTokens: number;
}

/** The loss or reclaim of an engine at a given time of a run. */
export interface Disturbance {
  readonly atMs: number;
  readonly kind: DisturbanceKind;
  readonly engineIndex: number;
}

/** Kinds of disturbances of an engine. */
export enum DisturbanceKind {
  EngineLoss = "engine-loss",
  Reclaim = "reclaim",
}

/**
 * An experiment: a workload, its disturbances, and the interval of engine views, which sets their
 * staleness.
 */
export interface Experiment {
  readonly name: string;
  readonly workload: Workload;
  readonly durationMs: number;
  readonly disturbances: readonly Disturbance[];
  /** Returns the factor on the arrival rate; progress is the elapsed fraction of the run. */
  readonly arrivalRateFactorAt: (progress: number) => number;
  /** Returns the factor on output lengths; progress is the elapsed fraction of the run. */
  readonly outputLengthFactorAt: (progress: number) => number;
  readonly viewIntervalMs: number;
}

/** One line of the JSON output; the field names are part of the tool's interface. */
export interface ExperimentResult {
  readonly policy: string;
  readonly seed: number;
  readonly load: number;
  readonly stallTimeTotalMs: number;
  readonly stallTimeP99Ms: number;
  readonly preemptionsCount: number;
  readonly interTokenP99Ms: number;
  readonly firstTokenP95Ms: number;
  readonly completedCount: number;
  readonly refusedCount: number;
  readonly lostCount: number;
  readonly tokensPerSecond: number;
}

/** The outcome of all requests of one class. */
export interface ClassOutcome {
  readonly offeredCount: number;
  readonly completedCount: number;
  /** Longest time from a request's arrival to its first token. */
  readonly longestWaitMs: number;
}

/** A result with the additional fields that tests and the printed table use. */
export interface RunOutcome {
  readonly result: ExperimentResult;
  readonly suspensionsCount: number;
  readonly classes: ReadonlyMap<catalogue.RequestClass, ClassOutcome>;
}

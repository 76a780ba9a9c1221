import type * as catalogue from "../src/catalogue/types.js";
import type * as engineTypes from "../standins/engine/types.js";

/** A distribution of token counts: lognormal, with a share drawn from a Pareto tail. */
export interface TokenDistribution {
  readonly medianTokens: number;
  /** Standard deviation of the logarithm. */
  readonly spread: number;
  /** Share drawn from the tail instead, with its start and exponent. */
  readonly tailRatio: number;
  readonly tailFromTokens: number;
  readonly tailExponent: number;
  readonly limitTokens: number;
}

/** One kind of requests of a workload. */
export interface WorkloadEntry {
  readonly name: string;
  readonly class: catalogue.RequestClass;
  readonly model: string;
  /** Share of all requests. */
  readonly ratio: number;
  readonly prompt: TokenDistribution;
  readonly output: TokenDistribution;
  /** Maxima that callers declare; one is drawn for each request. */
  readonly declaredMaxTokens: readonly number[];
  readonly deadlineMs: number;
  /** Bound between tokens for people who watch; null where nobody does. */
  readonly interTokenBoundMs: number | null;
}

/** A group of equal engines. */
export interface EngineGroup {
  readonly model: string;
  readonly count: number;
  readonly engine: EngineParameters;
}

/** What a group's engines are like. */
export type EngineParameters = Omit<
  engineTypes.EngineModelOptions,
  "name" | "loadedModels" | "lengthOf" | "promptTokensOf"
>;

/** Who sends what to which engines. */
export interface Workload {
  readonly name: string;
  readonly entries: readonly WorkloadEntry[];
  readonly groups: readonly EngineGroup[];
  readonly dataCentres: readonly string[];
  readonly vmsCount: number;
  /** Weights of the client accounts. */
  readonly accountWeights: readonly number[];
}

/** One request of a run, with what nobody knows in advance. */
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

/** Things that happen to a run besides requests. */
export interface Disturbance {
  readonly atMs: number;
  readonly kind: DisturbanceKind;
  readonly engineIndex: number;
}

/** Kinds of disturbances. */
export enum DisturbanceKind {
  EngineLoss = "engine-loss",
  Reclaim = "reclaim",
}

/** An experiment: a workload, how it is disturbed, and how stale what its choosers see is. */
export interface Experiment {
  readonly name: string;
  readonly workload: Workload;
  readonly durationMs: number;
  readonly disturbances: readonly Disturbance[];
  /** Factor on the arrival rate over the run, from 0 to 1. */
  readonly rateAt: (progress: number) => number;
  /** Factor on output lengths over the run, from 0 to 1. */
  readonly lengthFactorAt: (progress: number) => number;
  readonly viewIntervalMs: number;
}

/** One line of output; the field names are part of the tool's interface. */
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

/** What became of one class's requests. */
export interface ClassOutcome {
  readonly offeredCount: number;
  readonly completedCount: number;
  readonly longestWaitMs: number;
}

/** A result with what only tests and the table show. */
export interface RunOutcome {
  readonly result: ExperimentResult;
  readonly suspensionsCount: number;
  readonly classes: ReadonlyMap<catalogue.RequestClass, ClassOutcome>;
}

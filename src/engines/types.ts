import type * as backends from "../backends/types.js";
import type * as catalogue from "../catalogue/types.js";

/** What a generation requires of an engine, as far as it is known before the run. */
export interface GenerationNeed {
  readonly requestId: string;
  readonly entryName: string;
  readonly accountName: string;
  readonly class: catalogue.RequestClass;
  readonly model: string;
  readonly version: string;
  readonly adapter: string | null;
  readonly promptTokens: number;
  /** Hashes of the prompt's prefixes, shortest first; used to estimate prefix cache hits. */
  readonly prefixHashes: readonly string[];
  /** Tokens already produced, if the generation was suspended or continues on another engine. */
  readonly producedTokens: number;
  /** How often it was suspended before, on any engine; 0 if omitted. */
  readonly suspensionsCount?: number;
  /** Limit of output tokens. */
  readonly maxTokens: number;
  readonly acceptedAtMs: number;
  readonly deadlineAtMs: number;
}

/** State of an engine, which decides whether it may receive work. */
export enum EngineHealth {
  Live = "live",
  Suspect = "suspect",
  Leaving = "leaving",
  Dead = "dead",
}

/** A VM's possibly stale view of an engine, with the work that this VM has sent since. */
export interface EngineView {
  readonly name: string;
  readonly dataCentre: string;
  readonly health: EngineHealth;
  readonly capacityTokens: number;
  /** Peak memory use, in tokens, that the home forecast when it made the summary. */
  readonly reservedTokens: number;
  readonly runningCount: number;
  readonly waitingCount: number;
  /** Moving average of the time of one decoding step. */
  readonly stepTimeMs: number;
  readonly loadedModels: readonly backends.LoadedModel[];
  /** Age of the summary in milliseconds. */
  readonly ageMs: number;
  /** Tokens of the work that this VM has sent to the engine since the summary was made. */
  readonly sentSinceTokens: number;
  /** Count of generations that this VM has sent to the engine since the summary was made. */
  readonly sentSinceCount: number;
  /** Running generations of the streaming class; 0 if omitted. */
  readonly streamingCount?: number;
  /** Share of the engine's prefill speed that prompts of the batch class use; 0 if omitted. */
  readonly prefillRatio?: number;
}

/** A generation that a home runs on its engine. */
export interface RunningGeneration {
  readonly need: GenerationNeed;
  readonly startedAtMs: number;
  /** Tokens in memory: prompt and produced. */
  readonly contextTokens: number;
  readonly producedTokens: number;
  readonly lastTokenAtMs: number;
  /** How often the generation was suspended before. */
  readonly suspensionsCount: number;
}

/** Verdict of an admission decision. */
export enum AdmissionVerdict {
  Admit = "admit",
  Wait = "wait",
  /** The deadline cannot be met; the request is refused now. */
  Refuse = "refuse",
}

/** An admission verdict with its reason. */
export interface AdmissionDecision {
  readonly verdict: AdmissionVerdict;
  readonly reason: string;
  /** Estimated wait until the engine has capacity; used for Retry-After and explanations. */
  readonly estimatedWaitMs: number;
}

/**
 * Schedules the memory of one engine on behalf of its home. It has no I/O and no timers, so
 * simulations run the same code on a virtual clock.
 */
export interface EngineScheduler {
  /** Decides whether the generation may start on the engine now. */
  admit(need: GenerationNeed, nowMs: number): AdmissionDecision;
  /** Records that a generation has started on the engine. */
  onStarted(need: GenerationNeed, nowMs: number): void;
  /** Records the count of tokens that a generation has produced so far. */
  onProgress(requestId: string, producedTokens: number, nowMs: number): void;
  /**
   * Records that a run has ended on the engine.
   *
   * @param isComplete - whether the output is complete, and not to be continued elsewhere
   */
  onEnded(requestId: string, nowMs: number, isComplete: boolean): void;
  /** Applies a load report of the engine; ignores one that is not newer than the last. */
  onLoadReport(report: backends.EngineLoadReport, nowMs: number): void;
  /**
   * Selects generations to suspend now, before the engine preempts one; returns their request ids.
   */
  selectSuspensions(nowMs: number): readonly string[];
  /** Lists the generations that run on the engine. */
  listRunning(): readonly RunningGeneration[];
  /** Summarises the engine for selection by other VMs. */
  view(nowMs: number): EngineView;
}

/** Estimated remaining output of a generation. */
export interface ResidualEstimate {
  readonly meanTokens: number;
  /** Standard deviation. */
  readonly deviationTokens: number;
}

/** Probability distribution of output lengths. */
export interface LengthDistribution {
  /** Probability that an output is longer than this. */
  survival(tokens: number): number;
  /** Estimates the remaining output, given that the output exceeds the produced tokens. */
  residual(producedTokens: number, maxTokens: number): ResidualEstimate;
  /** Upper bound of the remaining output, in tokens, that holds with the given probability. */
  residualQuantile(producedTokens: number, maxTokens: number, probability: number): number;
}

/** Estimates output lengths from observed ones. */
export interface LengthEstimator {
  /** Returns the distribution of the whole output length of a generation. */
  distributionFor(need: GenerationNeed): LengthDistribution;
  /** Records the length of a complete output. */
  observe(need: GenerationNeed, totalTokens: number): void;
}

/** Capacity of an engine, as its home offers it to waiting generations. */
export interface EngineCapacity {
  readonly loadedModels: readonly backends.LoadedModel[];
  /** Whether the engine admits this generation now. */
  accepts(need: GenerationNeed): boolean;
}

/**
 * The most urgent request that waits for a model; homes use it to decide which VM gets capacity.
 */
export interface WaitingSummary {
  readonly model: string;
  readonly version: string;
  readonly adapter: string | null;
  readonly requestId: string;
  readonly class: catalogue.RequestClass;
  /** Rank of the class after ageing; lower is more urgent. */
  readonly rank: number;
  readonly deadlineAtMs: number;
  /** Count of all requests that wait for the model. */
  readonly waitingCount: number;
}

import type * as backends from "../backends/types.js";
import type * as catalogue from "../catalogue/types.js";

/** What a request needs of an engine, as far as it is known before it runs. */
export interface GenerationNeed {
  readonly requestId: string;
  readonly entryName: string;
  readonly accountName: string;
  readonly class: catalogue.RequestClass;
  readonly model: string;
  readonly version: string;
  readonly adapter: string | null;
  readonly promptTokens: number;
  /** Hashes of the prompt's prefixes, shortest first, for cache likelihood. */
  readonly prefixHashes: readonly string[];
  /** Tokens already produced, where the work was suspended or moved. */
  readonly producedTokens: number;
  /** How often it was suspended before, at any engine; none where left out. */
  readonly suspensionsCount?: number;
  readonly maxTokens: number;
  readonly acceptedAtMs: number;
  readonly deadlineAtMs: number;
}

/** Whether an engine may be given work. */
export enum EngineHealth {
  Live = "live",
  Suspect = "suspect",
  Leaving = "leaving",
  Dead = "dead",
}

/** An engine as a chooser at any VM sees it: lagging, and corrected by what was sent since. */
export interface EngineView {
  readonly name: string;
  readonly dataCentre: string;
  readonly health: EngineHealth;
  readonly capacityTokens: number;
  /** Tokens the home has reserved, when the summary was made. */
  readonly reservedTokens: number;
  readonly runningCount: number;
  readonly waitingCount: number;
  readonly stepTimeMs: number;
  readonly loadedModels: readonly backends.LoadedModel[];
  /** Age of the summary in milliseconds. */
  readonly ageMs: number;
  /** Tokens that this VM has sent there since the summary was made. */
  readonly sentSinceTokens: number;
  readonly sentSinceCount: number;
  /** Generations that someone watches unfold; none where left out. */
  readonly streamingCount?: number;
  /** Share of the engine's prefill speed that prompts of unwatched work take; none where left out. */
  readonly prefillRatio?: number;
}

/** One generation that a home runs on its engine. */
export interface RunningGeneration {
  readonly need: GenerationNeed;
  readonly startedAtMs: number;
  /** Tokens in memory: prompt and produced. */
  readonly contextTokens: number;
  readonly producedTokens: number;
  readonly lastTokenAtMs: number;
  /** How often it was suspended before. */
  readonly suspensionsCount: number;
}

/** Verdicts of admission. */
export enum AdmissionVerdict {
  Admit = "admit",
  Wait = "wait",
  /** The deadline cannot be met; the request is refused now. */
  Refuse = "refuse",
}

/** A verdict with its reason. */
export interface AdmissionDecision {
  readonly verdict: AdmissionVerdict;
  readonly reason: string;
  /** Estimated wait until there is room; for Retry-After and for explanations. */
  readonly estimatedWaitMs: number;
}

/**
 * What a home knows and decides about one engine. The home's task calls it; it has no I/O and
 * no timers, so the experiments drive the same code on a virtual clock.
 */
export interface EngineScheduler {
  /** Whether the engine has room for this work now. */
  admit(need: GenerationNeed, nowMs: number): AdmissionDecision;
  onStarted(need: GenerationNeed, nowMs: number): void;
  onProgress(requestId: string, producedTokens: number, nowMs: number): void;
  onEnded(requestId: string, nowMs: number, isWhole: boolean): void;
  onLoadReport(report: backends.EngineLoadReport, nowMs: number): void;
  /** Generations to suspend now, before the engine would preempt. */
  selectSuspensions(nowMs: number): readonly string[];
  running(): readonly RunningGeneration[];
  /** What other VMs need to know to choose this engine. */
  view(nowMs: number): EngineView;
}

/** How many tokens a generation will still produce. */
export interface ResidualEstimate {
  readonly meanTokens: number;
  readonly deviationTokens: number;
}

/** A distribution of output lengths. */
export interface LengthDistribution {
  /** Probability that an output is longer than this. */
  survival(tokens: number): number;
  /** What is still to come, given that more than the produced tokens come. */
  residual(producedTokens: number, maxTokens: number): ResidualEstimate;
  /** Tokens that are still to come at most, with the probability. */
  residualQuantile(producedTokens: number, maxTokens: number, probability: number): number;
}

/** Knows how long outputs become. */
export interface LengthEstimator {
  distributionFor(need: GenerationNeed): LengthDistribution;
  /** Learns from an output that ended whole. */
  observe(need: GenerationNeed, totalTokens: number): void;
}

/** Room on an engine, as a home offers it to waiting work. */
export interface EngineRoom {
  readonly loadedModels: readonly backends.LoadedModel[];
  /** Whether the engine would admit this work now. */
  accepts(need: GenerationNeed): boolean;
}

/** The most urgent waiting request of one model; what a home needs to offer its room well. */
export interface WaitingSummary {
  readonly model: string;
  readonly version: string;
  readonly adapter: string | null;
  readonly requestId: string;
  readonly class: catalogue.RequestClass;
  /** Class rank after ageing; lower is more urgent. */
  readonly rank: number;
  readonly deadlineAtMs: number;
  readonly waitingCount: number;
}

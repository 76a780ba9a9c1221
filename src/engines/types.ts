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

import type * as backends from "../../src/backends/types.js";

/** How a stand-in engine behaves; times in milliseconds, memory in tokens. */
export interface EngineModelOptions {
  readonly name: string;
  readonly capacityTokens: number;
  readonly maxRunningCount: number;
  readonly stepBaseMs: number;
  readonly stepPerSequenceMs: number;
  readonly stepPerContextTokenMs: number;
  readonly stepPerPrefillTokenMs: number;
  readonly maxPrefillTokensPerStep: number;
  /** Prefix blocks are cached in units of this many tokens. */
  readonly cacheBlockTokens: number;
  readonly loadReportLagMs: number;
  readonly cacheEventLagMs: number;
  /** Share of cache events that are lost, leaving a gap in the sequence. */
  readonly cacheEventLossRatio: number;
  readonly checksFencing: boolean;
  readonly modelLoadMs: number;
  readonly loadedModels: readonly backends.LoadedModel[];
  /** Takes a permit of the weight store; milliseconds until a load may begin. */
  readonly reserveLoad?: () => number;
  /** True output length of a request; the system under test cannot see it. */
  readonly lengthOf: (request: backends.EngineRequest) => number;
  /** Tokens of a prompt. */
  readonly promptTokensOf: (request: backends.EngineRequest) => number;
}

/** Receives what one stream of an engine produces. */
export interface StreamSink {
  onFrame(frame: backends.EngineFrame): void;
  /** The connection broke: the engine died or was reclaimed. */
  onBroken(reason: string): void;
}

/** Faults that can be injected into an engine. */
export enum EngineFault {
  /** The process is gone; everything it held is lost. */
  Dead = "dead",
  /** Steps stop; connections stay open. */
  Stalled = "stalled",
  /** Steps go on, but open connections deliver nothing any more; new ones work. */
  Silent = "silent",
}

/** Counters of one engine, for experiments and expectations. */
export interface EngineCounters {
  readonly preemptionsCount: number;
  readonly tokensProducedCount: number;
  readonly tokensRecomputedCount: number;
  readonly startedCount: number;
  readonly finishedCount: number;
  readonly cancelledCount: number;
}

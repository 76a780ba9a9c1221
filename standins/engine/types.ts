import type * as backends from "../../src/backends/types.js";

/** Options of a stand-in engine; memory is counted in tokens. */
export interface EngineModelOptions {
  readonly name: string;
  readonly capacityTokens: number;
  readonly maxRunningCount: number;
  readonly stepBaseMs: number;
  readonly stepPerSequenceMs: number;
  readonly stepPerContextTokenMs: number;
  readonly stepPerPrefillTokenMs: number;
  readonly maxPrefillTokensPerStep: number;
  /** Tokens per block of the prefix cache. */
  readonly cacheBlockTokens: number;
  readonly loadReportLagMs: number;
  readonly cacheEventLagMs: number;
  /** Fraction of cache events that are lost and leave a gap in the sequence numbers. */
  readonly cacheEventLossRatio: number;
  /** Whether orders with an outdated fencing number are refused. */
  readonly checksFencing: boolean;
  readonly modelLoadMs: number;
  readonly loadedModels: readonly backends.LoadedModel[];
  /** Reserves a load at the weight store; returns the milliseconds until it may begin. */
  readonly reserveLoad?: () => number;
  /** Returns the output length of a request in tokens; the system under test cannot see it. */
  readonly lengthOf: (request: backends.EngineRequest) => number;
  /** Returns the number of tokens of the request's prompt. */
  readonly promptTokensOf: (request: backends.EngineRequest) => number;
}

/** Receives the frames of one stream of an engine. */
export interface StreamSink {
  onFrame(frame: backends.EngineFrame): void;
  /** Called when the connection breaks because the engine died or was reclaimed. */
  onBroken(reason: string): void;
}

/** Faults that can be injected into an engine. */
export enum EngineFault {
  /** The process has died and its state is lost. */
  Dead = "dead",
  /** Steps stop; connections stay open. */
  Stalled = "stalled",
  /** Steps continue, but open connections deliver nothing more; new ones work. */
  Silent = "silent",
}

/** Counters of one engine, for experiments and tests. */
export interface EngineCounters {
  readonly preemptionsCount: number;
  readonly tokensProducedCount: number;
  readonly tokensRecomputedCount: number;
  readonly startedCount: number;
  readonly finishedCount: number;
  readonly cancelledCount: number;
}

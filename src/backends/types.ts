import type * as neverthrow from "neverthrow";

import type * as stepError from "../_lib/stepError/index.js";
import type * as catalogue from "../catalogue/types.js";

/** Reason why an engine ended a stream. */
export enum FinishReason {
  Stop = "stop",
  Length = "length",
  Cancelled = "cancelled",
}

/** A request to an engine to start a run of a generation. */
export interface EngineRequest {
  readonly requestId: string;
  readonly attempt: number;
  readonly model: string;
  readonly version: string;
  readonly adapter: string | null;
  readonly prompt: string;
  /** Tokens of the output that have already been delivered; the engine continues after them. */
  readonly prefixTokens: readonly string[];
  readonly maxTokens: number;
  /** A lower number is more urgent. */
  readonly priority: number;
  readonly seed: number;
}

/** Consecutive tokens from an engine's stream. */
export interface EngineFrame {
  /** Offset of the first token in the whole output, the delivered prefix included. */
  readonly offset: number;
  readonly tokens: readonly string[];
  /** Null until the last frame. */
  readonly finishReason: FinishReason | null;
}

/** An engine's report of its load; it describes an earlier state of the engine. */
export interface EngineLoadReport {
  /** Local monotonic time of the report. */
  readonly takenAtMs: number;
  readonly runningCount: number;
  readonly waitingCount: number;
  /** Engine memory in use, in tokens. */
  readonly usedTokens: number;
  /** Size of the engine's memory, in tokens. */
  readonly capacityTokens: number;
  /** Duration of the engine's latest step. */
  readonly stepTimeMs: number;
  readonly preemptionsCount: number;
  readonly loadedModels: readonly LoadedModel[];
  readonly running: readonly ReportedRun[];
  /** Milliseconds until the engine shuts down; null without a termination notice. */
  readonly leavingInMs: number | null;
}

/**
 * A run in a load report. The stream of a preempted run is silent until the engine has recomputed
 * the run's memory.
 */
export interface ReportedRun {
  readonly requestId: string;
  readonly attempt: number;
  readonly contextTokens: number;
  readonly isPreempted: boolean;
}

/** A model that an engine has loaded, with its version and adapters. */
export interface LoadedModel {
  readonly model: string;
  readonly version: string;
  readonly adapters: readonly string[];
}

/** A change of an engine's prefix cache. Events arrive late, and their sequence may have gaps. */
export interface CacheEvent {
  readonly sequence: number;
  readonly kind: "stored" | "evicted" | "cleared";
  readonly prefixHash: string;
  readonly tokens: number;
}

/** Kinds of orders that an engine accepts. */
export enum OrderKind {
  LoadModel = "load-model",
  UnloadModel = "unload-model",
  SetRole = "set-role",
}

/** An order to an engine; declarative, so that repeating it has no further effect. */
export interface EngineOrder {
  readonly kind: OrderKind;
  readonly model?: string;
  readonly version?: string;
  readonly adapter?: string;
  readonly role?: string;
  readonly fencingNumber: number;
}

/** Client of one model engine, independent of its wire format. */
export interface EngineClient {
  readonly name: string;
  /**
   * Starts a generation. The iteration ends after a frame with a finish reason, or throws a
   * StepError.
   */
  start(request: EngineRequest, signal: AbortSignal): AsyncIterable<EngineFrame>;
  /**
   * Resumes the stream of a run from an offset, on a new connection. The iteration ends as that of
   * `start`.
   */
  resume(
    requestId: string,
    attempt: number,
    fromOffset: number,
    signal: AbortSignal,
  ): AsyncIterable<EngineFrame>;
  /** Stops a run and frees its memory; its prefix may stay in the engine's cache. */
  cancel(requestId: string, attempt: number): Promise<neverthrow.Result<void, stepError.StepError>>;
  /** Fetches the latest load report. */
  loadReport(): Promise<neverthrow.Result<EngineLoadReport, stepError.StepError>>;
  /** Fetches the cache events after a sequence number. */
  cacheEvents(
    afterSequence: number,
  ): Promise<neverthrow.Result<readonly CacheEvent[], stepError.StepError>>;
  /** Sends an order; the engine refuses one with an outdated fencing number. */
  order(order: EngineOrder): Promise<neverthrow.Result<void, stepError.StepError>>;
}

/** A call to a plain service. */
export interface ServiceRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  readonly timeoutMs: number;
  /**
   * Whether the call may use a pooled connection. A call that is not idempotent is sent on a new
   * connection: a pooled one may have broken undetected, and the call's outcome would be unknown.
   */
  readonly isIdempotent?: boolean;
}

/** Answer of a plain service. */
export interface ServiceAnswer {
  readonly statusCode: number;
  readonly contentType: string;
  readonly body: Uint8Array;
}

/** Client of one plain server. */
export interface ServiceClient {
  readonly name: string;
  /**
   * Sends a call. An error with execution `not-run` means that the request was not sent; after any
   * other error the call may have been run.
   */
  call(request: ServiceRequest): Promise<neverthrow.Result<ServiceAnswer, stepError.StepError>>;
}

/** Provides the clients of engines: one per engine, with its own connections. */
export interface EngineClients {
  /** Returns the client of an engine. */
  clientFor(engine: catalogue.EngineBackend): EngineClient;
}

/** Provides the clients of plain servers. */
export interface ServiceClients {
  /** Returns the client of a plain server. */
  clientFor(backend: catalogue.ServiceBackend): ServiceClient;
}

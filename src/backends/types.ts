import type * as neverthrow from "neverthrow";

import type * as stepError from "../_lib/stepError/index.js";
import type * as catalogue from "../catalogue/types.js";

/** Why an engine's stream ended. */
export enum FinishReason {
  Stop = "stop",
  Length = "length",
  Cancelled = "cancelled",
}

/** A generation as an engine is asked to run it. */
export interface EngineRequest {
  readonly requestId: string;
  readonly attempt: number;
  readonly model: string;
  readonly version: string;
  readonly adapter: string | null;
  readonly prompt: string;
  /** Tokens of this answer already delivered; the engine continues after them. */
  readonly prefixTokens: readonly string[];
  readonly maxTokens: number;
  /** Lower is more urgent. */
  readonly priority: number;
  readonly seed: number;
}

/** Tokens as they come from an engine's stream. */
export interface EngineFrame {
  /** Offset of the first token in the whole answer, the prefix counted. */
  readonly offset: number;
  readonly tokens: readonly string[];
  readonly finishReason: FinishReason | null;
}

/** What an engine runs, as reported; the report lags. */
export interface EngineLoadReport {
  readonly takenAtMs: number;
  readonly runningCount: number;
  readonly waitingCount: number;
  readonly usedTokens: number;
  readonly capacityTokens: number;
  readonly stepTimeMs: number;
  readonly preemptionsCount: number;
  readonly loadedModels: readonly LoadedModel[];
  readonly running: readonly ReportedRun[];
  /** Milliseconds until the engine is taken away; null where no notice was given. */
  readonly leavingInMs: number | null;
}

/** One generation in a load report; a preempted one waits to be recomputed and its stream is silent. */
export interface ReportedRun {
  readonly requestId: string;
  readonly attempt: number;
  readonly contextTokens: number;
  readonly isPreempted: boolean;
}

/** A model with its version and adapters as an engine has it loaded. */
export interface LoadedModel {
  readonly model: string;
  readonly version: string;
  readonly adapters: readonly string[];
}

/** A change in an engine's prefix cache; events come late and with gaps in their sequence. */
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

/** An order to an engine; declarative, so that repeating it is harmless. */
export interface EngineOrder {
  readonly kind: OrderKind;
  readonly model?: string;
  readonly version?: string;
  readonly adapter?: string;
  readonly role?: string;
  readonly fencingNumber: number;
}

/** One model engine, whatever its wire format. */
export interface EngineClient {
  readonly name: string;
  /** Starts a generation; the iteration ends after a frame with a finish reason, or throws a StepError. */
  start(request: EngineRequest, signal: AbortSignal): AsyncIterable<EngineFrame>;
  /** Takes up a stream that the engine still runs, from an offset, on a new connection. */
  resume(
    requestId: string,
    attempt: number,
    fromOffset: number,
    signal: AbortSignal,
  ): AsyncIterable<EngineFrame>;
  /** Stops a generation and frees its memory; its cached prefix may stay. */
  cancel(requestId: string, attempt: number): Promise<neverthrow.Result<void, stepError.StepError>>;
  loadReport(): Promise<neverthrow.Result<EngineLoadReport, stepError.StepError>>;
  cacheEvents(
    afterSequence: number,
  ): Promise<neverthrow.Result<readonly CacheEvent[], stepError.StepError>>;
  order(order: EngineOrder): Promise<neverthrow.Result<void, stepError.StepError>>;
}

/** One call to a plain service. */
export interface ServiceRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  readonly timeoutMs: number;
  /**
   * Lets the call use a pooled connection. Without it a new one is opened, so that a pooled one
   * that broke unnoticed cannot leave it unknown whether the call was run.
   */
  readonly isIdempotent?: boolean;
}

/** A plain service's answer. */
export interface ServiceAnswer {
  readonly statusCode: number;
  readonly contentType: string;
  readonly body: Uint8Array;
}

/** One server of a plain service. */
export interface ServiceClient {
  readonly name: string;
  /** An error with execution `not-run` says that the request never left; any other may have run. */
  call(request: ServiceRequest): Promise<neverthrow.Result<ServiceAnswer, stepError.StepError>>;
}

/** Gives the client of an engine; one client, and its connections, per engine. */
export interface EngineClients {
  clientFor(engine: catalogue.EngineBackend): EngineClient;
}

/** Gives the client of a plain service's server. */
export interface ServiceClients {
  clientFor(backend: catalogue.ServiceBackend): ServiceClient;
}

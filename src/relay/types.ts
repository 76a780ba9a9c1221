import type * as http from "node:http";

import type * as neverthrow from "neverthrow";

import type * as crashes from "../crashes/index.js";
import type * as routing from "../routing/types.js";
import type * as servers from "../servers/types.js";

/** The parameters of a generation, as the caller's request gives them. */
export interface GenerationRequest {
  readonly model: string;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** The caller's estimate of the output length: accurate at the median, but often far off. */
  readonly hintedOutputTokens: number | null;
  /** Ids of the parts of the prompt, in order; requests may share all but the last. */
  readonly promptPartIds: readonly string[];
}

/** A caller's decoded request, without its body. */
export interface CallHead {
  /** Id of the caller's attempt; empty if the request has none. */
  readonly id: string;
  readonly method: string;
  readonly host: string;
  /** Path and query, byte for byte as received. */
  readonly target: string;
  readonly apiKey: string | null;
  /** Time for which the caller waits, in milliseconds; null if the request does not say. */
  readonly timeLeftMs: number | null;
  /** Id of the last event that the caller has of the stream; 0 if it has none. */
  readonly lastEventId: number;
  /** Whether only engines with a certain version of the model's weights may run it. */
  readonly expectsVersion: boolean;
  /** Headers to forward, as alternating names and values. */
  readonly forwardedHeaders: readonly string[];
  readonly generation: GenerationRequest | null;
}

/** A caller's admitted request to a plain service or an engine, with its route. */
export interface Call {
  readonly head: CallHead;
  readonly body: Buffer;
  readonly route: routing.Route;
  readonly account: routing.Account | null;
  readonly serviceName: string;
  readonly arrivedAtMs: number;
  /** The earliest of the caller's timeout, the route's and this VM's shutdown; monotonic clock. */
  readonly deadlineAtMs: number;
  /** Aborted when the caller disconnects. */
  readonly callerDisconnected: AbortSignal;
  /** Aborted when this VM is about to close its callers' connections. */
  readonly vmClosing?: AbortSignal;
  /** Whether the call, sent now, is sure enough to end before this VM closes its connections; always if it does not. */
  readonly canEndInTime?: () => boolean;
  /** What the call may have in common with others that made a server crash. */
  readonly suspects: readonly crashes.Suspect[];
}

/** Where the memory is from which a run continues. */
export interface Continuation {
  /** Address of the engine that holds the memory or transfers it, as host:port. */
  readonly memoryAddress: string;
  /** Identifies the memory at that engine. */
  readonly memoryHandle: string;
}

/** Parameters of one attempt, in addition to the call itself. */
export interface AttemptOptions {
  readonly server: servers.ServerEntry;
  readonly timeLeftMs: number;
  /** 0 is the most urgent; null leaves the priority to the engine. */
  readonly priority: number | null;
  /** Address of the engine that keeps the run's backup, as host:port. */
  readonly backupAddress: string | null;
  /** Memory of the run; null for a new run. */
  readonly continuation: Continuation | null;
  /** Id of the last event that the caller has; the run goes on after it. 0 before the first. */
  readonly lastEventId: number;
}

/** Parameters of an attempt at a plain server, which has no memory of a run. */
export const PLAIN_ATTEMPT_OPTIONS = {
  priority: null,
  backupAddress: null,
  continuation: null,
  lastEventId: 0,
} as const satisfies Partial<AttemptOptions>;

/** The decoded head of a server's answer. */
export interface AnswerHead {
  readonly status: number;
  /** Id of the attempt that it answers; null if the answer has none. */
  readonly requestId: string | null;
  /** Whether it has a server's signature. */
  readonly isSigned: boolean;
  /** Whether the server states that it did not execute the call. */
  readonly isNotRun: boolean;
  /** Whether the server states that the call is not for it: it is another one, or has other weights. */
  readonly isMisdirected: boolean;
  /** Id of the server as it names itself; null if it does not. */
  readonly serverId: string | null;
  /** Whether the body has a content encoding, which no server uses. */
  readonly isEncoded: boolean;
  /** Whether all headers to forward can be written; the parser lets names through that are none. */
  readonly isWritable: boolean;
  /** Whether the server states that it terminates. */
  readonly isLeaving: boolean;
  /** Time for which the server wants no request, as it states with a status of 503; else null. */
  readonly retryAfterMs: number | null;
  /** Rejections a second above which the server crashes; null if it states none. */
  readonly maxRejectionsPerSecond: number | null;
  /** Requests a second that the server takes from all VMs together; null if it names no limit. */
  readonly ratePerSecond: number | null;
  /** Headers to forward, as alternating names and values. */
  readonly forwardedHeaders: readonly string[];
}

/** Converts between the wire format and the relay's types; only implementations know header names. */
export interface WireCodec {
  /** Decodes the head of a caller's request; the error describes what is malformed. */
  decodeCall(message: http.IncomingMessage): neverthrow.Result<CallHead, string>;
  /** Returns the headers of a request to a server, as alternating names and values. */
  encodeAttempt(call: Call, options: AttemptOptions): readonly string[];
  /** Decodes the head of a server's answer. */
  decodeAnswer(message: http.IncomingMessage): AnswerHead;
  /** Returns the headers of a refusal, as alternating names and values. */
  encodeRefusal(call: { readonly id: string }, retryAfterMs: number | null): readonly string[];
}

/** A complete copy of a run's memory that one engine has made on another. */
export interface CopiedMemory {
  readonly handle: string;
  /** Number of events that the run had produced when the copy was complete. */
  readonly producedEventsCount: number;
}

/** Why a run's memory was not copied to another engine. */
export enum MemoryCopyFailure {
  /** The engine does not execute the run. */
  NoSuchRun = "no-such-run",
  Busy = "busy",
  /** The other engine has no capacity. */
  NoCapacity = "no-room",
  Unreachable = "unreachable",
}

/** What is known of a run at an engine that was told to stop it. */
export enum StopOutcome {
  Stopped = "stopped",
  /** The engine does not execute the run. */
  NoSuchRun = "no-such-run",
  /** The engine has not answered, or cannot say now. */
  Unknown = "unknown",
}

/** Operations on engines other than executing calls. */
export interface EngineControl {
  /**
   * Stops a run, even at an engine that keeps running after its connection is closed. Resolves when the engine
   * has answered, or at the timeout.
   *
   * @param options.copyTo - another engine; orders that stop a run also copy its memory
   */
  stopRun(
    server: servers.ServerEntry,
    requestId: string,
    options: { readonly copyTo: servers.ServerEntry; readonly timeoutMs: number },
  ): Promise<StopOutcome>;

  /**
   * Copies the memory of a run to another engine. Resolves when the copy is complete or failed.
   *
   * @param options.stopsRun - stops the run on its engine first, so that the copy is final
   */
  copyRunMemory(
    from: servers.ServerEntry,
    to: servers.ServerEntry,
    requestId: string,
    options: { readonly stopsRun: boolean; readonly timeoutMs: number },
  ): Promise<neverthrow.Result<CopiedMemory, MemoryCopyFailure>>;
}

/** Why this VM refuses a call; the values are reasons in logs and metrics. */
export enum RefusalReason {
  NoConfiguration = "no-configuration",
  StaleConfiguration = "stale-configuration",
  NoRoute = "no-route",
  UnknownKey = "unknown-key",
  Malformed = "malformed",
  /** The caller has events of a stream that may not be resumed. */
  NotResumable = "not-resumable",
  BodyTooLarge = "body-too-large",
  /** The byte budget of this VM has no room for another request. */
  NoMemory = "no-memory",
  HeadersTooLarge = "headers-too-large",
  NoServer = "no-server",
  /** All servers of the service are in evacuated data centres. */
  Evacuated = "evacuated",
  NoCapacity = "no-room",
  ServersRefused = "servers-refused",
  RateLimited = "rate-limited",
  /** The account sends more than its share of what the service takes. */
  BeyondShare = "beyond-share",
  /** Several servers crashed while they ran the same request, or prompts with the same part. */
  EndsServers = "ends-servers",
  Stopping = "stopping",
  TimedOutNotRun = "timed-out-not-run",
  TimedOut = "timed-out",
  OutcomeUnknown = "outcome-unknown",
  /** An unexpected error, which is a defect of the gateway; the call may have been executed. */
  InternalError = "internal-error",
}

/** What is known of whether a call has run. */
export enum Execution {
  /** It was sent to no server, or each server that it was sent to has stated that it did not run it. */
  NotRun = "not-run",
  MayHaveRun = "may-have-run",
}

/** An answer that this VM gives instead of a server's. */
export interface Refusal {
  readonly reason: RefusalReason;
  readonly status: number;
  /** Delay after which the caller may retry; null if the call may have run or can never be served. */
  readonly retryAfterMs: number | null;
}

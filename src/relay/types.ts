import type * as http from "node:http";

import type * as neverthrow from "neverthrow";

import type * as routing from "../routing/types.js";
import type * as servers from "../servers/types.js";

/** What a call says of the generation it asks for. */
export interface GenerationRequest {
  readonly model: string;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** The caller's guess of the output's length; right at the median, often far off. */
  readonly hintedOutputTokens: number | null;
}

/** A caller's request without its body. */
export interface CallHead {
  /** Id of the caller's attempt; empty where it sent none. */
  readonly id: string;
  readonly method: string;
  readonly host: string;
  /** Path and query, byte for byte as they came. */
  readonly target: string;
  readonly apiKey: string | null;
  /** How long the caller waits; null where it did not say. */
  readonly timeLeftMs: number | null;
  /** Headers to pass on, names and values in turn. */
  readonly forwardedHeaders: readonly string[];
  readonly generation: GenerationRequest | null;
}

/** A caller's request that was matched to a route and may be served. */
export interface Call {
  readonly head: CallHead;
  readonly body: Buffer;
  readonly route: routing.Route;
  readonly account: routing.Account | null;
  readonly serviceName: string;
  readonly arrivedAtMs: number;
  /** When the caller or the route gives up waiting; on the VM's own clock. */
  readonly deadlineAtMs: number;
  /** Aborted once the caller is gone. */
  readonly callerGone: AbortSignal;
}

/** Where a run goes on from: memory that stands at an engine. */
export interface Continuation {
  /** Address of the engine that holds the memory or hands it over, as host:port. */
  readonly memoryAddress: string;
  /** Names the memory at that engine. */
  readonly memoryHandle: string;
  /** Id of the last event that the caller has; 0 before the first. */
  readonly lastEventId: number;
}

/** What an attempt at a server is sent with beside the call itself. */
export interface AttemptOptions {
  readonly server: servers.ServerEntry;
  readonly timeLeftMs: number;
  /** 0 is the most urgent; null leaves it to the engine. */
  readonly priority: number | null;
  /** Address of the engine that keeps a copy of the run's memory. */
  readonly backupAddress: string | null;
  readonly continuation: Continuation | null;
}

/** The head of a server's answer. */
export interface AnswerHead {
  readonly status: number;
  /** Id of the attempt that it answers; null where it says none. */
  readonly requestId: string | null;
  /** Whether it bears a server's signature. */
  readonly isSigned: boolean;
  /** Whether the server says that it did not run the call. */
  readonly isNotRun: boolean;
  /** Whether another server than the expected one has the address now. */
  readonly isOtherServer: boolean;
  /** Whether the body is encoded in a way that no server uses. */
  readonly isEncoded: boolean;
  /** Headers to pass on, names and values in turn. */
  readonly forwardedHeaders: readonly string[];
}

/** Translates between the wire and the relay's types; the names of headers stand there alone. */
export interface WireCodec {
  decodeCall(message: http.IncomingMessage): neverthrow.Result<CallHead, string>;
  /** Headers of a request to a server, names and values in turn. */
  encodeAttempt(call: Call, options: AttemptOptions): readonly string[];
  decodeAnswer(message: http.IncomingMessage): AnswerHead;
  /** Headers of the relay's own answer. */
  encodeRefusal(call: { readonly id: string }, retryAfterMs: number | null): readonly string[];
}

/** A copy of a run's memory that an engine has made at another one. */
export interface MovedMemory {
  readonly handle: string;
  /** Events that the run had made when the copy was complete. */
  readonly producedEventsCount: number;
}

/** Why memory was not moved. */
export enum MoveFailure {
  NoSuchRun = "no-such-run",
  Busy = "busy",
  NoRoom = "no-room",
  Unreachable = "unreachable",
}

/** What the relay asks of engines beside running calls. */
export interface EngineControl {
  /**
   * Copies the memory of a run to another engine; resolves once the copy is complete.
   *
   * @param stopsRun - ends the run at the engine first, so that the copy lacks nothing
   */
  moveRun(
    from: servers.ServerEntry,
    to: servers.ServerEntry,
    requestId: string,
    options: { readonly stopsRun: boolean; readonly timeoutMs: number },
  ): Promise<neverthrow.Result<MovedMemory, MoveFailure>>;
}

/** Why the relay itself answers a call; each is a reason in logs and metrics. */
export enum RefusalReason {
  NoConfiguration = "no-configuration",
  StaleConfiguration = "stale-configuration",
  NoRoute = "no-route",
  UnknownKey = "unknown-key",
  Malformed = "malformed",
  BodyTooLarge = "body-too-large",
  HeadersTooLarge = "headers-too-large",
  NoServer = "no-server",
  NoRoom = "no-room",
  ServersRefused = "servers-refused",
  Stopping = "stopping",
  TimedOutNotRun = "timed-out-not-run",
  TimedOut = "timed-out",
  OutcomeUnknown = "outcome-unknown",
}

/** An answer of the relay's own. */
export interface Refusal {
  readonly reason: RefusalReason;
  readonly status: number;
  /** When the caller may come back; null where the call may have run or never can. */
  readonly retryAfterMs: number | null;
}

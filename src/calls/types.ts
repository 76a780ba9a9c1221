import type * as persistentMap from "../_lib/persistentMap/index.js";
import type * as neverthrow from "neverthrow";

import type * as stepError from "../_lib/stepError/index.js";
import type * as backends from "../backends/types.js";
import type * as catalogue from "../catalogue/types.js";
import type * as replication from "../replication/types.js";

/** A caller's call to a plain service. */
export interface CallRequest {
  readonly requestId: string;
  readonly entry: catalogue.CallEntry;
  readonly accountName: string;
  readonly idempotencyKey: string | null;
  readonly contentType: string;
  readonly body: Uint8Array;
  readonly deadlineAtWallMs: number;
  /** Retries that the request may still cause, where an earlier hop has set a limit. */
  readonly retriesLeft?: number;
}

/** Calls as the HTTP port uses them. */
export interface CallService {
  call(
    request: CallRequest,
  ): Promise<neverthrow.Result<backends.ServiceAnswer, stepError.StepError>>;
}

/** What the log's order says about a key. */
export enum KeyPhase {
  /** No attempt is live; attempts that were released stay listed for a while. */
  Free = "free",
  /** The first live intent: its process alone may dispatch. */
  Held = "held",
  /** Dispatched, and its process could not learn the outcome. */
  Unknown = "unknown",
  /** The outcome is known, and kept for its entry's retention. */
  Done = "done",
  /** The answer is no longer kept; the key stays refused. */
  Spent = "spent",
}

/** An answer as the log holds it; the body in base64. */
export interface StoredAnswer {
  readonly statusCode: number;
  readonly contentType: string;
  readonly body: string;
}

/** A once-only key by the log's order. */
export interface KeyState {
  readonly phase: KeyPhase;
  /** The attempt that holds or held the key; empty for a free one. */
  readonly attempt: string;
  readonly bodyHash: string;
  /** The VM that wrote the intent. */
  readonly vm: string;
  /** Log time of the last record that changed the key. */
  readonly changedAtWallMs: number;
  readonly retentionMs: number;
  /** When the key itself says that it was made; null for a key without a time. */
  readonly keyTimeMs: number | null;
  /** Null where there is none, or where it was too large to keep. */
  readonly answer: StoredAnswer | null;
  /** Attempts that will never dispatch. */
  readonly releasedAttempts: readonly string[];
}

/** All once-only keys up to an offset; immutable. */
export interface CallsState {
  readonly appliedOffset: number;
  /** The highest wall time of any record so far; keys age by it alone, the same everywhere. */
  readonly logTimeMs: number;
  readonly keys: persistentMap.PersistentMap<KeyState>;
}

/** First record of an attempt; only the first live one may dispatch. */
export interface IntentRecord {
  readonly type: "intent";
  readonly keyId: string;
  readonly attempt: string;
  readonly bodyHash: string;
  readonly vm: string;
  readonly keyTimeMs: number | null;
  readonly retentionMs: number;
}

/** Written only by a process that has not dispatched the attempt and never will. */
export interface ReleasedRecord {
  readonly type: "released";
  readonly keyId: string;
  readonly attempt: string;
}

/** The service's answer to the attempt. */
export interface OutcomeRecord {
  readonly type: "outcome";
  readonly keyId: string;
  readonly attempt: string;
  /** Null where it was too large to keep. */
  readonly answer: StoredAnswer | null;
}

/** The attempt was dispatched, and its outcome could not be learnt. */
export interface UnknownRecord {
  readonly type: "unknown";
  readonly keyId: string;
  readonly attempt: string;
}

/** A record of the calls' stream. */
export type CallRecord = IntentRecord | ReleasedRecord | OutcomeRecord | UnknownRecord;

/** Whether a plain service's server is given calls. */
export enum ServerHealthState {
  Healthy = "healthy",
  /** Spared for a while after failures in a row. */
  Ejected = "ejected",
  /** Ejected, with one call on its way to find out whether it answers again. */
  Probing = "probing",
  /** Draining, or said to leave. */
  Leaving = "leaving",
}

/** A server for operators. */
export interface ServerDescription {
  readonly name: string;
  readonly service: string;
  readonly dataCentre: string;
  readonly health: ServerHealthState;
  /** Failures in a row. */
  readonly failuresCount: number;
  readonly inFlightCount: number;
}

/** The calls of a VM for operators. */
export interface CallsDescription {
  readonly servers: readonly ServerDescription[];
  readonly keysByPhase: Readonly<Record<KeyPhase, number>>;
  /** Calls that wait for another attempt of their key. */
  readonly waitingCount: number;
  /** Outcomes and releases that still have to reach the log. */
  readonly unwrittenCount: number;
  readonly follower: replication.FollowerStatus;
}

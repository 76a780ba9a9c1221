import type * as persistentMap from "../_lib/persistentMap/index.js";
import type * as neverthrow from "neverthrow";

import type * as stepError from "../_lib/stepError/index.js";
import type * as backends from "../backends/types.js";
import type * as catalogue from "../catalogue/types.js";
import type * as replication from "../replication/types.js";

/** A caller's request to a plain service. */
export interface CallRequest {
  readonly requestId: string;
  readonly entry: catalogue.CallEntry;
  readonly accountName: string;
  readonly idempotencyKey: string | null;
  readonly contentType: string;
  readonly body: Uint8Array;
  readonly deadlineAtWallMs: number;
  /** Maximum number of retries that an earlier hop allows; undefined if none has set a limit. */
  readonly retriesLeft?: number;
}

/** Serves calls to plain services; the interface that the HTTP port uses. */
export interface CallService {
  /** Serves a call; errors tell whether the service may have run it. */
  call(
    request: CallRequest,
  ): Promise<neverthrow.Result<backends.ServiceAnswer, stepError.StepError>>;
}

/** State of an idempotency key, as determined by the order of the records in the log. */
export enum KeyPhase {
  /** No attempt holds the key; released attempts stay listed until their retention ends. */
  Free = "free",
  /** An attempt holds the key; only the process that wrote its intent may dispatch it. */
  Held = "held",
  /** The attempt was dispatched, and its process could not determine the outcome. */
  Unknown = "unknown",
  /** The outcome is known, and stored for the retention time that the entry sets. */
  Done = "done",
  /** The call was run and its answer is no longer stored; calls with the key are refused. */
  Spent = "spent",
}

/** A service's answer as stored in the log; the body is encoded in base64. */
export interface StoredAnswer {
  readonly statusCode: number;
  readonly contentType: string;
  readonly body: string;
}

/** State of the idempotency key of a once-only call. */
export interface KeyState {
  readonly phase: KeyPhase;
  /** Id of the attempt that holds or held the key; empty for a free key. */
  readonly attempt: string;
  /** Hash of the content type and body of the call that holds or held the key. */
  readonly bodyHash: string;
  /** Name of the VM that wrote the attempt's intent. */
  readonly vm: string;
  /** Log time of the last record that changed the key. */
  readonly changedAtWallMs: number;
  /** How long the answer is stored after the outcome was recorded. */
  readonly retentionMs: number;
  /** Creation time carried by the key itself; null for a key without a timestamp. */
  readonly keyTimeMs: number | null;
  /** Null if there is none, or if it was too large to store. */
  readonly answer: StoredAnswer | null;
  /** Ids of attempts that will never be dispatched. */
  readonly releasedAttempts: readonly string[];
}

/** States of all keys of once-only calls up to a log offset; immutable. */
export interface CallsState {
  readonly appliedOffset: number;
  /**
   * Highest wall time of any record so far. The age of keys is computed from it alone, so that all
   * VMs compute the same age.
   */
  readonly logTimeMs: number;
  readonly keys: persistentMap.PersistentMap<KeyState>;
}

/** First record of an attempt; it takes the key only if no other attempt holds it. */
export interface IntentRecord {
  readonly type: "intent";
  readonly keyId: string;
  readonly attempt: string;
  readonly bodyHash: string;
  readonly vm: string;
  readonly keyTimeMs: number | null;
  readonly retentionMs: number;
}

/** Releases an attempt; written only by a process that has not dispatched it and never will. */
export interface ReleasedRecord {
  readonly type: "released";
  readonly keyId: string;
  readonly attempt: string;
}

/** Records the service's answer to the attempt. */
export interface OutcomeRecord {
  readonly type: "outcome";
  readonly keyId: string;
  readonly attempt: string;
  /** Null if it was too large to store. */
  readonly answer: StoredAnswer | null;
}

/** Records that the attempt was dispatched and its outcome could not be determined. */
export interface UnknownRecord {
  readonly type: "unknown";
  readonly keyId: string;
  readonly attempt: string;
}

/** A record of the log stream of calls. */
export type CallRecord = IntentRecord | ReleasedRecord | OutcomeRecord | UnknownRecord;

/** Health of a plain server, which decides whether it receives calls. */
export enum ServerHealthState {
  Healthy = "healthy",
  /** Receives no calls for a limited time after consecutive failures. */
  Ejected = "ejected",
  /** Ejected, with one call in flight that probes whether it answers again. */
  Probing = "probing",
  /** Draining in the catalogue, or marked as leaving. */
  Leaving = "leaving",
}

/** State of a plain server, for operators. */
export interface ServerDescription {
  readonly name: string;
  readonly service: string;
  readonly dataCentre: string;
  readonly health: ServerHealthState;
  /** Number of consecutive failures. */
  readonly failuresCount: number;
  readonly inFlightCount: number;
}

/** State of a VM's calls, for operators. */
export interface CallsDescription {
  readonly servers: readonly ServerDescription[];
  readonly keysByPhase: Readonly<Record<KeyPhase, number>>;
  /** Number of calls that wait for a change of their key. */
  readonly waitingCount: number;
  /** Number of release, outcome and unknown records that have not reached the log yet. */
  readonly unwrittenCount: number;
  readonly follower: replication.FollowerStatus;
}

/** Longest idempotency key that callers may send, in characters. */
export const MAX_KEY_LENGTH = 255;

/** Bytes of a key's hash that name it in the log. */
export const KEY_ID_BYTES = 18;

/** Largest answer that is kept for a key's later callers. */
export const MAX_KEPT_ANSWER_BYTES = 16_384;

/**
 * A key that carries its own time is refused when it is older than this, and forgotten then. A
 * key without a time is never forgotten.
 */
export const TIMED_KEY_WINDOW_MS = 30 * 86_400_000;

/** How long a released attempt is remembered, in case its intent is still on its way. */
export const RELEASED_ATTEMPT_RETENTION_MS = 86_400_000;

/** Released attempts remembered for one key. */
export const MAX_RELEASED_ATTEMPTS = 64;

/** One slice of the keys is swept for expired ones every so many records. */
export const RECORDS_PER_SWEEP = 64;

/** Records in one group append. */
export const MAX_RECORDS_PER_APPEND = 200;

/** Records that may wait for an append; above it, calls are refused as not run. */
export const MAX_QUEUED_RECORDS = 5_000;

/** How long one append may stay silent before its answer counts as lost. */
export const APPEND_TIMEOUT_MS = 2_000;

/** Bounds of the pause between attempts to reach the log. */
export const MIN_LOG_RETRY_MS = 50;
export const MAX_LOG_RETRY_MS = 1_000;

/** Bounds of the pause between lookups of a call's status. */
export const MIN_STATUS_RETRY_MS = 100;
export const MAX_STATUS_RETRY_MS = 2_000;

/** How long one status lookup may take. */
export const STATUS_TIMEOUT_MS = 2_000;

/** Servers that a once-only call is offered to, where earlier ones never received it. */
export const MAX_UNSENT_OFFERS = 3;

/** When a caller may come back after a refusal because the log is down. */
export const LOG_OUTAGE_RETRY_AFTER_MS = 2_000;

/** When a caller may ask again for a call whose outcome is open. */
export const OUTCOME_RETRY_AFTER_MS = 1_000;

/** Keys in one part of a snapshot. */
export const SNAPSHOT_KEYS_PER_PART = 500;

/** Header that carries the idempotency key to the service. */
export const KEY_HEADER = "idempotency-key";

/** Header that tells the next hop how many retries it may still make. */
export const RETRIES_LEFT_HEADER = "chiveferry-retries-left";

/** Header value of a request that no hop may retry. */
export const NO_RETRIES = "0";

/** Statuses that a gateway or an overloaded server gives without having answered. */
export const FAILURE_STATUS_CODES: ReadonlySet<number> = new Set([502, 503, 504]);

/** Consecutive failures after which a server is ejected. */
export const EJECTION_FAILURES_COUNT = 5;

/** Bounds of the time for which a server stays ejected; it doubles with each failed probe. */
export const MIN_EJECTION_MS = 2_000;
export const MAX_EJECTION_MS = 60_000;

/** Retries that each first attempt pays for. */
export const RETRIES_PER_CALL = 0.1;

/** Hedges that each first attempt pays for. */
export const HEDGES_PER_CALL = 0.05;

/** Retries or hedges that may be saved up for one service. */
export const MAX_SAVED_RETRIES = 10;

/** Retries of one request, whatever the budget. */
export const MAX_RETRIES_PER_REQUEST = 3;

/** Bounds of the backoff between attempts. */
export const MIN_BACKOFF_MS = 20;
export const MAX_BACKOFF_MS = 1_000;

/** Growth bound of decorrelated jitter. */
export const BACKOFF_FACTOR = 3;

/** Latencies needed before their percentile is used. */
export const MIN_LATENCY_SAMPLES = 50;

/** Latencies are learned over two windows of this length. */
export const LATENCY_WINDOW_MS = 60_000;

/** Percentile of latency after which a call is hedged. */
export const HEDGE_PERCENTILE = 95;

/** Longest latency that is recorded. */
export const MAX_LATENCY_MS = 600_000;

/** A server counts as silent after this multiple of the learned percentile. */
export const SILENCE_FACTOR = 10;

/** Shortest time after which a server counts as silent. */
export const MIN_SILENCE_MS = 250;

/** Share of the remaining time after which a server counts as silent while no latency is known. */
export const UNLEARNED_SILENCE_SHARE = 0.5;

/** How long shutdown waits for records that have to reach the log. */
export const FLUSH_LIMIT_MS = 5_000;

/** When a caller may try again after no server took its call. */
export const BACKEND_RETRY_AFTER_MS = 1_000;

/** Share of the remaining time that is kept for status lookups, where the entry names one. */
export const STATUS_TIME_SHARE = 0.25;

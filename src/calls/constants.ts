/** Maximum length of a caller's idempotency key, in characters. */
export const MAX_KEY_CHARACTERS = 255;

/** Length of the truncated hash that identifies a key in the log, in bytes. */
export const KEY_ID_BYTES = 18;

/** Largest response body that is stored for replay to later calls with the same key, in bytes. */
export const MAX_STORED_ANSWER_BYTES = 16_384;

/**
 * Maximum age of a key that carries a timestamp. An older one is refused, and its state is removed.
 * A used key without a timestamp is never removed.
 */
export const MAX_TIMED_KEY_AGE_MS = 30 * 86_400_000;

/** How long a released attempt is remembered, because its intent may still reach the log. */
export const RELEASED_ATTEMPT_RETENTION_MS = 86_400_000;

/** Maximum number of released attempts that are remembered for one key. */
export const MAX_RELEASED_ATTEMPTS = 64;

/** Number of records after which the next slice of the keys is swept for expired ones. */
export const RECORDS_PER_SWEEP = 64;

/** Maximum number of records in one group append. */
export const MAX_RECORDS_PER_APPEND = 200;

/** Maximum number of records that wait to be appended; further ones are refused as not run. */
export const MAX_QUEUED_RECORDS = 5_000;

/** Timeout of one append; after it, the result of the append is unknown. */
export const APPEND_TIMEOUT_MS = 2_000;

/** Delay before the first repetition of a failed append; it doubles with each further one. */
export const MIN_LOG_RETRY_MS = 50;

/** Maximum delay between repeated appends, and between checks whether the log is available. */
export const MAX_LOG_RETRY_MS = 1_000;

/** Delay after the first status lookup without result; it doubles with each further one. */
export const MIN_STATUS_RETRY_MS = 100;

/** Maximum delay between status lookups of a call. */
export const MAX_STATUS_RETRY_MS = 2_000;

/** Timeout of one status lookup. */
export const STATUS_TIMEOUT_MS = 2_000;

/**
 * Maximum number of servers tried for a once-only call. A further one is tried only if the request
 * was not sent to the previous one.
 */
export const MAX_DISPATCH_SERVERS = 3;

/** Retry delay suggested to a caller that was refused because the log is unavailable. */
export const LOG_OUTAGE_RETRY_AFTER_MS = 2_000;

/** Retry delay suggested to a caller whose call has an unknown outcome. */
export const OUTCOME_RETRY_AFTER_MS = 1_000;

/** Number of keys in one part of a snapshot. */
export const SNAPSHOT_KEYS_PER_PART = 500;

/** Header that carries the idempotency key to the service. */
export const KEY_HEADER = "idempotency-key";

/** Header that tells the next hop how many retries it may still make. */
export const RETRIES_LEFT_HEADER = "chiveferry-retries-left";

/** Value of `RETRIES_LEFT_HEADER` for a request that no later hop may retry. */
export const NO_RETRIES = "0";

/** Status codes of failed or overloaded servers, after which an idempotent call is retried. */
export const FAILURE_STATUS_CODES: ReadonlySet<number> = new Set([502, 503, 504]);

/** Number of consecutive failures after which a server is ejected. */
export const EJECTION_FAILURES_COUNT = 5;

/** Duration of a server's first ejection; it doubles with each failed probe. */
export const MIN_EJECTION_MS = 2_000;

/** Maximum duration of an ejection. */
export const MAX_EJECTION_MS = 60_000;

/** Retries that each call adds to its service's retry budget. */
export const RETRIES_PER_CALL = 0.1;

/** Hedged attempts that each call adds to its service's hedge budget. */
export const HEDGES_PER_CALL = 0.05;

/** Capacity of a service's retry budget and of its hedge budget, in attempts. */
export const MAX_RETRY_BUDGET_TOKENS = 10;

/** Maximum number of retries and hedged attempts of one request, whatever the budget. */
export const MAX_RETRIES_PER_REQUEST = 3;

/** Minimum backoff between attempts of an idempotent call. */
export const MIN_BACKOFF_MS = 20;

/** Maximum backoff between attempts of an idempotent call. */
export const MAX_BACKOFF_MS = 1_000;

/** Decorrelated jitter draws the next backoff from up to this multiple of the previous one. */
export const BACKOFF_FACTOR = 3;

/** Number of recorded latencies below which their percentile is not used. */
export const MIN_LATENCY_SAMPLES = 50;

/** Length of one latency window; the current window and the previous one are kept. */
export const LATENCY_WINDOW_MS = 60_000;

/** Latency percentile after which a call is hedged. */
export const HEDGE_PERCENTILE = 95;

/** Upper bound of recorded latencies; longer ones are recorded as this value. */
export const MAX_LATENCY_MS = 600_000;

/**
 * Silence timeout as a multiple of the service's hedge delay. A server without an answer for this
 * time is reported as failed, and a second attempt may start.
 */
export const SILENCE_TIMEOUT_FACTOR = 10;

/** Minimum silence timeout for a service with known latencies. */
export const MIN_SILENCE_TIMEOUT_MS = 250;

/** Silence timeout as a ratio of the remaining time, for a service without known latencies. */
export const DEFAULT_SILENCE_TIMEOUT_RATIO = 0.5;

/** How long shutdown waits for pending records to reach the log. */
export const FLUSH_TIMEOUT_MS = 5_000;

/** Retry delay suggested to a caller whose call no server could accept. */
export const BACKEND_RETRY_AFTER_MS = 1_000;

/** Ratio of the remaining time reserved for status lookups, if the entry has a status path. */
export const STATUS_LOOKUP_TIME_RATIO = 0.25;

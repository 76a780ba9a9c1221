/** Maximum length of an item's name, in characters. */
export const MAX_NAME_LENGTH = 128;

/** Format of item names; without a slash, so that `kind/name` is unambiguous. */
export const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]*$/;

/** Format of a key hash: SHA-256 in lower-case hex. */
export const KEY_HASH_PATTERN = /^[0-9a-f]{64}$/;

/** Maximum length of a change id, an operator's name and other short texts, in characters. */
export const MAX_ID_LENGTH = 200;

/**
 * Change ids are kept in two maps of this size. The older map is dropped when the younger one is
 * full, so a repeated change is detected for at least this many changes.
 */
export const CHANGE_IDS_PER_MAP_COUNT = 8_192;

/** Default values of optional fields in an operator's document. */
export const DEFAULT_GENERATION_DEADLINE_MS = 600_000;
export const DEFAULT_CALL_DEADLINE_MS = 10_000;
export const DEFAULT_MAX_TOKENS = 4_096;
export const DEFAULT_MAX_WAITING_COUNT = 1_000;
export const DEFAULT_KEEP_FINISHED_MS = 600_000;
export const DEFAULT_MIN_LOADED_ENGINES = 1;
export const DEFAULT_KEY_RETENTION_MS = 86_400_000;
export const DEFAULT_TARGET_RATIO = 0.95;
export const DEFAULT_REQUESTS_PER_SECOND = 10;
export const DEFAULT_CONCURRENT_REQUESTS = 20;
export const DEFAULT_TOKENS_PER_SECOND = 2_000;

/** Maximum value of duration fields. */
export const MAX_DURATION_MS = 30 * 86_400_000;

/** Maximum number of appends for one proposal, all under the same change id. */
export const MAX_PROPOSE_APPENDS_COUNT = 4;

/** Default timeout of a proposal. */
export const DEFAULT_PROPOSE_TIMEOUT_MS = 10_000;

/** Delay before an append is retried. */
export const PROPOSE_RETRY_PAUSE_MS = 200;

/** Maximum number of items or change ids in one part of a snapshot. */
export const SNAPSHOT_ITEMS_PER_PART_COUNT = 500;

/** Maximum number of skipped records that are kept for operators. */
export const MAX_SKIPPED_RECORDS_COUNT = 50;

/** Default number of log records that one request for an item's history scans. */
export const DEFAULT_HISTORY_SCAN_RECORDS_COUNT = 200_000;

/** Timeout of one append, after which its answer counts as lost. */
export const APPEND_TIMEOUT_MS = 3_000;

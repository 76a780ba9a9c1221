/** Longest name of an item, in characters. */
export const MAX_NAME_LENGTH = 128;

/** Names of items: no slash, so that `kind/name` stays unambiguous. */
export const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]*$/;

/** SHA-256 as lower-case hex. */
export const KEY_HASH_PATTERN = /^[0-9a-f]{64}$/;

/** Longest changeId or operator name, in characters. */
export const MAX_ID_LENGTH = 200;

/**
 * Change ids are remembered in two generations of this size; the older one is dropped when the
 * younger one is full, so a repeated change is recognised for at least this many changes.
 */
export const CHANGE_ID_GENERATION_SIZE = 8_192;

/** Defaults of optional fields in an operator's document. */
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

/** Longest time that any field may state. */
export const MAX_DURATION_MS = 30 * 86_400_000;

/** How many times an append whose answer was lost is repeated under the same change id. */
export const MAX_PROPOSE_APPENDS = 4;

/** How long a proposal waits for its outcome, by default. */
export const DEFAULT_PROPOSE_TIMEOUT_MS = 10_000;

/** Pause before an append is repeated. */
export const PROPOSE_RETRY_PAUSE_MS = 200;

/** Items in one part of a snapshot. */
export const SNAPSHOT_ITEMS_PER_PART = 500;

/** Skipped records shown to operators. */
export const MAX_SKIPPED_SHOWN = 50;

/** Records of the log that one question for an item's history looks through. */
export const MAX_HISTORY_RECORDS = 200_000;

/** How long one append may stay silent before its answer counts as lost. */
export const APPEND_TIMEOUT_MS = 3_000;

/** Number of VMs in each data centre that read a stream from the log and forward it to the others. */
export const READERS_PER_DATA_CENTRE = 2;

/** Time that one long poll of the log waits for a record. */
export const LONG_POLL_MS = 10_000;

/** Time that a read may take beyond its long-poll wait before it counts as failed. */
export const READ_TIMEOUT_MARGIN_MS = 5_000;

/** Maximum interval between a reader's messages to its followers; an idle one sends its known offset. */
export const READER_KEEPALIVE_INTERVAL_MS = 2_000;

/** A follower that receives nothing from its reader for this long reads the log or asks peers. */
export const READER_SILENCE_TIMEOUT_MS = 5_000;

/** Timeout of a call to a peer. */
export const PEER_CALL_TIMEOUT_MS = 1_000;

/** Bounds of the exponential backoff after a failed attempt to make progress. */
export const MIN_RETRY_PAUSE_MS = 100;
export const MAX_RETRY_PAUSE_MS = 2_000;

/** Number of recent records kept in memory to serve peers. */
export const RECENT_RECORDS_COUNT = 1_024;

/** Maximum number of records in one message to a peer. */
export const RECORDS_PER_MESSAGE = 500;

/** Maximum number of records in one read of the log. */
export const RECORDS_PER_READ = 1_000;

/** Maximum number of snapshot parts in one append. */
export const PARTS_PER_APPEND = 8;

/** Maximum number of parts of a snapshot; a part that states a larger count is ignored. */
export const MAX_SNAPSHOT_PARTS = 10_000;

/** Number of records after the last snapshot at which a new one is due. */
export const SNAPSHOT_INTERVAL_RECORDS = 5_000;

/** Age of the last snapshot at which a new one is due, as a ratio of the log's retention time. */
export const SNAPSHOT_AGE_RETENTION_RATIO = 0.25;

/** Retention time of the log that is assumed if the settings do not state it. */
export const DEFAULT_RETENTION_MS = 86_400_000;

/** Interval at which a VM checks whether a snapshot or a message to its followers is due. */
export const PERIODIC_CHECK_INTERVAL_MS = 1_000;

/** Time that a VM waits for its reader to forward a known record before it reads the log itself. */
export const READER_FORWARD_WAIT_MS = 50;

/** Delay between the VMs, in rank order, before each writes a due snapshot. */
export const SNAPSHOT_WRITER_STAGGER_MS = 5_000;

/** Number of peers that one attempt asks for their status, state or missing records. */
export const PEERS_PER_ATTEMPT_COUNT = 4;

/** Maximum number of concurrent requests when the status of the whole fleet is collected. */
export const MAX_CONCURRENT_STATUS_REQUESTS = 16;

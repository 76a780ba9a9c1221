/** VMs in each data centre that read a stream from the log; the others get it from them. */
export const READERS_PER_DATA_CENTRE = 2;

/** How long one read of the log waits for a record. */
export const LONG_POLL_MS = 10_000;

/** How long a read may take beyond its wait before it counts as silent. */
export const READ_GRACE_MS = 5_000;

/** A reader tells its followers the log's end at least this often. */
export const READER_ANNOUNCE_MS = 2_000;

/** A follower that hears nothing from its reader for this long asks on its own. */
export const READER_SILENCE_MS = 5_000;

/** Timeout of a call to a peer. */
export const PEER_TIMEOUT_MS = 1_000;

/** Bounds of the pause after a failed attempt to reach the log or a peer. */
export const MIN_RETRY_PAUSE_MS = 100;
export const MAX_RETRY_PAUSE_MS = 2_000;

/** Records kept in memory to serve peers and repeated questions. */
export const RECENT_RECORDS_COUNT = 1_024;

/** Records in one message to a peer. */
export const RECORDS_PER_MESSAGE = 500;

/** Records in one read of the log. */
export const RECORDS_PER_READ = 1_000;

/** Parts of a snapshot in one append. */
export const PARTS_PER_APPEND = 8;

/** Most parts that a snapshot may have; a larger count in a record is refused. */
export const MAX_SNAPSHOT_PARTS = 10_000;

/** A snapshot is due after this many records. */
export const SNAPSHOT_EVERY_RECORDS = 5_000;

/** A snapshot is due when the last one is older than this share of the log's retention. */
export const SNAPSHOT_RETENTION_SHARE = 0.25;

/** Retention assumed where the settings do not state it. */
export const DEFAULT_RETENTION_MS = 86_400_000;

/** How often a VM checks whether a snapshot or an announcement is due. */
export const TICK_MS = 1_000;

/** How long a VM waits for its reader to pass on a record that it knows of, before it reads. */
export const READ_BACK_PATIENCE_MS = 50;

/** Pause between the turns of two VMs to write a due snapshot. */
export const SNAPSHOT_STAGGER_MS = 5_000;

/** Peers asked for a status, a state or missing records at one time. */
export const MAX_PEERS_ASKED = 4;

/** Most VMs asked for an on-demand status of the whole fleet at one time. */
export const STATUS_CONCURRENCY = 16;

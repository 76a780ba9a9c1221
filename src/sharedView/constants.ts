/**
 * Age of the servers' entries at which the reader of rank 0 polls the store again. Every server
 * writes about once a second, so a poll batches the writes of a large fleet; the age is a tenth of
 * the 1.5 s of a termination notice.
 */
export const SERVERS_POLL_AGE_MS = 150;

/**
 * Age of the configuration at which the reader of rank 0 polls the store again. Together with the
 * long poll it stays well under the 2 s within which a configuration change must be applied.
 */
export const CONFIGURATION_POLL_AGE_MS = 10;

/** Longest time for which the store holds a poll of the servers' entries until a record arrives. */
export const SERVERS_LONG_POLL_MS = 600;

/** Longest time for which the store holds a poll of the configuration until a record arrives. */
export const CONFIGURATION_LONG_POLL_MS = 600;

/** Added to the polling age for each rank, so that a VM polls only if VMs of lower rank do not. */
export const READER_RANK_DELAY_MS = 300;

/**
 * Number of VMs that poll the store in the order of their ranks. All others rely on what these
 * send; a VM that is partitioned from the others has no live peers, and so has rank 0.
 */
export const RANKED_READERS_COUNT = 10;

/** Added to the polling age of VMs after the ranked readers; they poll only as a last resort. */
export const FALLBACK_READ_AGE_MS = 15_000;

/** Allowance for the delay with which peers report the ages of their views. */
export const PEER_REPORT_LAG_MS = 250;

/** Pause after the first failed call to the store; each further failure doubles it. */
export const MIN_STORE_BACKOFF_MS = 150;

/** Longest pause between failed calls to the store. */
export const MAX_STORE_BACKOFF_MS = 1_500;

/** Shortest interval between a VM's heartbeats. */
export const MIN_HEARTBEAT_INTERVAL_MS = 250;

/** Heartbeat interval per known peer; applies where it gives more than the shortest interval. */
export const HEARTBEAT_INTERVAL_PER_PEER_MS = 8;

/**
 * Number of known peers at and above which a fleet is hierarchical: work updates go through one
 * aggregator in each data centre, and VMs that are not hubs exchange fewer heartbeats.
 */
export const HIERARCHICAL_FLEET_VM_COUNT = 24;

/** VMs of each data centre that exchange every heartbeat with the whole fleet. */
export const HUBS_PER_DATA_CENTRE_COUNT = 2;

/** Number of readers, counted from rank 0, that are hubs as well. */
export const HUB_READERS_COUNT = 3;

/** In a hierarchical fleet, VMs that are not hubs exchange heartbeats once in this many rounds. */
export const SPARSE_HEARTBEAT_ROUNDS = 4;

/** How long an aggregator batches work updates: a fraction of the time that a prefill takes. */
export const AGGREGATION_INTERVAL_MS = 40;

/** Heartbeats that may be missed before a peer counts as silent. */
export const MAX_MISSED_HEARTBEATS_COUNT = 4;

/** Heartbeats that all hubs have to be overdue by before a VM counts as partitioned from them. */
export const MAX_HUB_SILENCE_HEARTBEATS = 1.5;

/** Least time for which a VM hears from no hub before it counts as partitioned from them. */
export const MIN_HUB_SILENCE_MS = 1_000;

/** How long heartbeats still go to a silent peer, so that it rejoins after a network partition. */
export const PEER_RETENTION_MS = 60_000;

/**
 * Most VMs that a VM knows, several times those of the largest fleets; names beyond it are not taken from messages,
 * which any process may send.
 */
export const MAX_KNOWN_VMS_COUNT = 500;

/** The largest datagram that is sent; fits the usual MTU. */
export const MAX_DATAGRAM_BYTES = 1_200;

/** Most bytes of messages in a bundle, so that it fits a datagram with its other fields. */
export const MAX_BUNDLE_PAYLOAD_BYTES = 1_100;

/** How long a VM that lags behind a peer waits for the records before it fetches the topic. */
export const CATCH_UP_DELAY_MS = 60;

/** Timeout of fetching a topic; half of the 3 s within which large fleets must apply a change. */
export const REPLICA_FETCH_TIMEOUT_MS = 1_500;

/** Time after which a fetch counts as slow, and the topic may be fetched from another peer too. */
export const SLOW_FETCH_MS = 400;

/** Most fetches of one topic at a time. */
export const MAX_PARALLEL_FETCHES_COUNT = 2;

/** The largest topic accepted from a peer: four times the largest configuration, 4 MB. */
export const MAX_REPLICA_BYTES = 16 * 1024 * 1024;

/** Room beyond it for records of further keys that a VM cannot serve without: the largest configuration. */
export const ESSENTIAL_RECORDS_BYTES = 4 * 1024 * 1024;

/** The largest compressed topic; large configurations shrink to a tenth. */
export const MAX_COMPRESSED_REPLICA_BYTES = 4 * 1024 * 1024;

/** Most items of a topic in the wire format: four for each record of the largest topic with the smallest ones. */
export const MAX_REPLICA_ITEMS_COUNT = 400_000;

/** Heartbeat rounds between summaries of a VM's claims and waiting generations. */
export const WORK_SUMMARY_HEARTBEAT_ROUNDS = 4;

/** Peers that are sent a summary of suspects in each round of summaries. */
export const CRASH_SUMMARY_PEERS_COUNT = 2;

/** Suspects in one datagram, so that it mostly fits the usual MTU. */
export const SUSPECTS_PER_DATAGRAM_COUNT = 4;

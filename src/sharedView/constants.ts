/**
 * Age at which the first reader asks for the servers' entries again. Every server writes about once
 * a second; this gathers the words of a large fleet, and is a tenth of the 1.5 s of a notice.
 */
export const SERVERS_POLL_MS = 150;

/** Age at which the first reader asks for configuration again; with the wait well under the 2 s to apply it. */
export const CONFIGURATION_POLL_MS = 10;

/** How long the store may wait for a record of each topic before it answers that there is none. */
export const SERVERS_WAIT_MS = 600;
export const CONFIGURATION_WAIT_MS = 600;

/** Added to that age for each VM that goes before: it reads only if those before it fail to. */
export const READER_RANK_DELAY_MS = 300;

/**
 * VMs that take turns. Those after them rely on their word: a VM that is cut off from the others
 * counts none before it, and is the first.
 */
export const READER_TURNS_COUNT = 10;

/** Age at which a VM after those reads for itself all the same. */
export const LAST_TURN_MS = 15_000;

/** How old a peer's word is when it comes, at the most, beside what it says. */
export const PEER_WORD_LAG_MS = 250;

/** Pauses after failed calls to the store; they double from the first to the last. */
export const MIN_STORE_BACKOFF_MS = 150;
export const MAX_STORE_BACKOFF_MS = 1_500;

/** Interval between a VM's heartbeats, and what each peer adds to it. */
export const HEARTBEAT_INTERVAL_MS = 250;
export const HEARTBEAT_PER_PEER_MS = 8;

/** VMs past which a fleet is divided: word of work goes by way of one VM of each data centre. */
export const DIVIDED_FLEET_COUNT = 24;

/** VMs of each data centre that hear from all others at every heartbeat, and are heard by them. */
export const ANCHORS_COUNT = 2;

/** First readers of the store, which beat for all as well. */
export const BEATING_READERS_COUNT = 3;

/** Heartbeats of a divided fleet among which VMs that are no anchors beat for each other once. */
export const SPARSE_BEATS_COUNT = 4;

/** How long a collector gathers word of work: a fraction of the time that a prompt takes to be read. */
export const COLLECT_INTERVAL_MS = 40;

/** Heartbeats that may be missed before a peer counts as gone. */
export const MISSED_HEARTBEATS_COUNT = 4;

/** How long a silent peer is still sent heartbeats, so that it finds back after a cut. */
export const PEER_RETENTION_MS = 60_000;

/** The largest datagram that is sent; fits the usual MTU. */
export const MAX_DATAGRAM_BYTES = 1_200;

/** What a bundle carries at the most, so that it fits one with its names. */
export const MAX_BUNDLE_BYTES = 1_100;

/** How long a VM that lags behind a peer waits for records to come by themselves. */
export const CATCH_UP_DELAY_MS = 60;

/** Time for a peer's answer with a whole topic; half of the 3 s in which large fleets apply a change. */
export const REPLICA_FETCH_TIMEOUT_MS = 1_500;

/** The largest topic that is taken from a peer: a few times the largest configuration, 4 MB. */
export const MAX_REPLICA_BYTES = 16 * 1024 * 1024;

/** Interval between summaries of claims, in heartbeats. */
export const CLAIM_SUMMARY_HEARTBEATS = 4;

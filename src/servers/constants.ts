/**
 * Time after a store outage for which servers with removed entries stay available, and evacuations stay as
 * they were. The platform states that entries which lapsed during an outage reappear within 2 s of its end.
 */
export const LAPSED_ENTRY_GRACE_MS = 2_000;

/** Time for which a departed server is remembered, so that its runs can still be identified. */
export const DEPARTED_SERVER_RETENTION_MS = 60_000;

/** First suspension of a failing server; a quarter of the shortest objective. */
export const MIN_SUSPENSION_MS = 400;

/** Longest suspension, and so the longest interval between tries of a flapping server. */
export const MAX_SUSPENSION_MS = 6_400;

/**
 * Weight of the newest outcome in a server's failure ratio, which covers about the last ten
 * outcomes.
 */
export const FAILURE_RATIO_WEIGHT = 0.1;

/** Weight of the newest answer in the moving average of a server's answer time. */
export const LATENCY_WEIGHT = 0.15;

/** Count of unreachable servers of a data centre from which a network partition is suspected. */
export const PARTITION_SERVERS_COUNT = 2;

/**
 * Time after the last failed connection to a data centre for which a partition is suspected; then
 * the data centre is tried again.
 */
export const PARTITION_SUSPICION_MS = 800;

/** How long a server's statement on its rate is told to the peers. */
export const RATE_STATEMENT_RETENTION_MS = 10_000;

/** Most statements in one message to the peers, so that it fits a datagram. */
export const MAX_SHARED_RATE_STATEMENTS_COUNT = 8;

/** Lowest rate at which a limited server is still sent requests, as only its answers end a limit. */
export const MIN_RATE_PER_SECOND = 0.25;

/** Time for which a statement of a brittle server, and a rejection by one, count for its service. */
export const OVERLOAD_RETENTION_MS = 10_000;

/** Most overloaded services in one message to the peers, so that it fits a datagram. */
export const MAX_SHARED_OVERLOADS_COUNT = 4;

/**
 * Time after the start of a VM in which it sends nothing to cold servers, as it may not know the other VMs
 * yet: it covers four heartbeats of a fleet of 120 VMs.
 */
export const VIEW_SETTLING_MS = 5_000;

/** Added to the interval between requests to a cold server, for delays between decision and arrival. */
export const COLD_SPACING_MARGIN_MS = 200;

/**
 * Time for which a server that refused a connection counts as one that may restart. Servers write their
 * entries at intervals of up to 1.2 s, and the entry of one that is silent for three of them is removed.
 */
export const RESTART_SUSPICION_MS = 4_000;

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

/** How long the average of a server's answer times holds; then it is tried again as any other. */
export const RECENT_ANSWER_MS = 2_000;

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

/**
 * Time for which a rejection by a brittle server counts for its service, and for which servers have to answer
 * without the statement that they are brittle until none of the service is taken for so.
 */
export const OVERLOAD_RETENTION_MS = 10_000;

/** Time after the last statement of a brittle server, to any VM, after which its service counts as sturdy again. */
export const BRITTLE_BELIEF_LIFETIME_MS = 20_000;

/** Greatest age of a rejection that is told to the peers; above the retention time, it means nothing. */
export const MAX_OVERLOAD_AGE_MS = 3_600_000;

/** Time for which the ranking of the VMs for a server is cached: the shortest interval between heartbeats. */
export const VM_ORDER_AGE_MS = 250;

/** Polling interval of a peer's request that waits for a free place at a brittle server. */
export const PLACE_LOAN_INTERVAL_MS = 10;

/** Most concurrent requests of a VM for loans at one service; other waiting calls wait for their turn. */
export const MAX_LOAN_REQUESTS_COUNT = 2;

/** Most requests of peers for a place at one server that wait. */
export const MAX_WAITING_LOANS_COUNT = 16;

/** Time in which the rejections by one brittle server are counted, as its own limit is for a second. */
export const REJECTION_COUNT_MS = 1_000;

/** Most rejections by one server that are counted. */
export const MAX_COUNTED_REJECTIONS = 256;

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
/** Weight of an answer that is faster than the fastest answers known of its server, or of a peer's such time. */
export const FASTER_ANSWER_WEIGHT = 0.5;

/** Weight of a slower answer: most are slower, as calls wait, and the estimate stays near the fastest tenth. */
export const SLOWER_ANSWER_WEIGHT = 0.02;

/** Weight of a slower time that a peer states. */
export const SLOWER_PEER_WEIGHT = 0.1;

/** How long rejections that peers report count. */
export const REJECTION_RETENTION_MS = 1_000;

/** How long a rejection of its own call keeps a VM from a server: about the time in which a full queue halves. */
export const OWN_REJECTION_MEMORY_MS = 150;

/**
 * Share of its calls that all VMs withdraw from a server of which a rejection is reported. If it were
 * more, one chance rejection would make all of them turn to the other servers at once.
 */
export const PEER_REJECTION_REDUCTION = 0.1;

/** Most servers whose load one heartbeat states, so that it stays small. */
export const MAX_LOAD_STATEMENTS_COUNT = 2;

/** Interval at which the statements go on to the next servers; the shortest between heartbeats. */
export const LOAD_STATEMENT_INTERVAL_MS = 250;

/** Interval over which sent calls are counted for metrics. */
export const SEND_COUNT_INTERVAL_MS = 10_000;

/** How long after a rejection the calls to a service are shared by capacity. */
export const CONTENTION_RETENTION_MS = 10_000;

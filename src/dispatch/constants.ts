/**
 * Prompt tokens that an engine prefills in a millisecond while it runs other streams: half of the
 * 14 that the platform states, since chunks of a prompt alternate with decoding steps of other
 * runs.
 */
export const PREFILL_TOKENS_PER_MS = 7;

/** Time from dispatch to the first event excluding prefill: connection and first step. */
export const FIRST_EVENT_OVERHEAD_MS = 20;

/** Share of a run's remaining output that counts as committed: runs do not all peak at once. */
export const REMAINING_OUTPUT_RATIO = 0.6;

/** Share of an engine's memory that new runs may commit; the rest absorbs longer outputs. */
export const MAX_COMMITTED_RATIO = 0.95;

/**
 * Share of an engine's memory in use up to which it accepts a migrating run that would otherwise be
 * interrupted. The rest covers what its runs produce between two announcements of their
 * claims: some 2,000 tokens of 22,000.
 */
export const MAX_MIGRATION_USED_RATIO = 0.9;

/**
 * Bound on the committed share of an engine's memory, with the backup, plus its failure ratio,
 * below which it accepts a backup of another engine's run.
 */
export const MAX_BACKUP_COMMITTED_RATIO = 0.5;

/**
 * Lower bound of the remaining output, as a share of the larger of expected and produced tokens.
 */
export const OVERRUN_REMAINING_RATIO = 0.35;

/**
 * Time without a first event after which a run counts as overdue. Its engine is then full, slow or
 * dead and gets no further work until it sends one. Just under the objectives of 1.5 s.
 */
export const FIRST_EVENT_OVERDUE_MS = 1_400;

/** Cost of an engine whose memory is fully committed, as added time to the first event. */
export const FULL_MEMORY_COST_MS = 600;

/** Cost of an engine whose answers all fail, as added time to the first event. */
export const FAILURE_COST_MS = 4_000;

/**
 * Cost of leaving the data centre while no cut has been seen, as a share of a run's expected
 * duration. A cut stalls the streams that cross it, and callers leave after some seconds. A lost
 * stream costs as much as a first event that is late by its objective of 1.8 s, so that the share
 * is this time multiplied by the cuts expected in a time: one in three minutes.
 */
export const CUT_RISK_RATIO = 0.01;

/** The same right after a cut, which is often followed by another: one in 20 s. */
export const RECENT_CUT_RISK_RATIO = 0.08;

/** Half-life of the risk that a cut is followed by another. */
export const CUT_RISK_HALF_LIFE_MS = 60_000;

/**
 * Fixed part of the cost of leaving the data centre, which applies to the shortest runs too: some
 * round trips between data centres, and the operators' price of the bytes.
 */
export const OTHER_DATA_CENTRE_COST_MS = 40;

/** Typical time of one output token on a shared engine; a decoding step takes at least 7 ms. */
export const TOKEN_TIME_MS = 12;

/**
 * Cost of a server behind a suspected partition; it is chosen only where no other server is left.
 */
export const PARTITION_COST_MS = 10_000;

/** Wait for capacity after which engines behind a suspected partition are tried again. */
export const PARTITION_RETRY_WAIT_MS = 400;

/** Assumed time of a call on a plain server before its typical time is known. */
export const DEFAULT_CALL_TIME_MS = 20;

/**
 * Wait after which a generation that fits on no engine may reserve one instead of being bypassed.
 */
export const BYPASS_LIMIT_MS = 400;

/**
 * Time after which capacity that was allocated to a generation of another VM and not used goes to
 * the next one: a few times the delay of a work update through two aggregators and a busy VM's
 * event loop.
 */
export const UNUSED_ALLOCATION_TIMEOUT_MS = 200;

/** Lower bound of the expected wait from which a refused caller's retry delay is computed. */
export const MIN_RETRY_AFTER_MS = 300;

/** Upper bound of the expected wait from which a refused caller's retry delay is computed. */
export const MAX_RETRY_AFTER_MS = 10_000;

/** Half-life of the moving sum of released memory from which the release rate is computed. */
export const RELEASE_RATE_HALF_LIFE_MS = 5_000;

/**
 * Tokens of memory that an engine transfers in a millisecond if its service does not state it: about
 * 24 Gbit/s and 160 KB a token.
 */
export const DEFAULT_TRANSFER_TOKENS_PER_MS = 18;

/** Share of a link's speed that is left beside the orders to the engines. */
export const TRANSFER_EFFICIENCY = 0.9;

/** Transfers between data centres take this many times as long as within one. */
export const CROSS_TRANSFER_RATIO = 2;

/** Shortest time between an engine's termination notice and its end. */
export const MIN_NOTICE_MS = 1_500;

/** A run that is expected to end within this time stays on its leaving engine. */
export const MIN_MIGRATION_REMAINING_MS = 500;

/** Lower bound of the time of a server's fastest answers: what the network takes. */
export const MIN_CALL_TIME_MS = 1;

/**
 * How a server's share of the calls falls with the time that it takes for one. It is above 1, at which all
 * servers are filled alike, because the calls that wait at a slower server also wait longer.
 */
export const CALL_TIME_EXPONENT = 1.2;

/** Cost of a plain server in another data centre, as added time to the call. */
export const OTHER_DATA_CENTRE_CALL_COST_MS = 2;

/** Attempts of a plain call that follow each other at once if servers fail it. */
export const MAX_PROMPT_REPEATS_COUNT = 3;

/** Attempts of a plain call that follow each other at once if none of the servers has run it. */
export const MAX_PROMPT_TRIES_COUNT = 5;

/** First pause before a further attempt of a call that servers failed; about the time of one call. */
export const MIN_RETRY_PAUSE_MS = 50;

/** Most pauses between attempts of one plain call: about a second in all. */
export const MAX_RETRY_PAUSES_COUNT = 5;

/** Longest pause before a further attempt of a plain call that servers failed. */
export const MAX_RETRY_PAUSE_MS = 400;

/** Share of the time that a caller gives which is left to it for a retry of its own. */
export const CALLER_TIME_RATIO = 0.5;
/**
 * Half-life of observations of an engine's speed: several times the length of disturbances by other
 * work on its hardware, and a fraction of the lifetime of engines that are reclaimed often.
 */
export const SPEED_HALF_LIFE_MS = 5_000;

/** Interval at which the speeds of a service's engines are computed from the observations. */
export const SPEED_REFRESH_INTERVAL_MS = 100;

/** Observations older than this are removed. */
export const SPEED_RETENTION_MS = 20_000;

/** Weight of the assumption that an engine is typical, as duration of observations. */
export const SPEED_PRIOR_WEIGHT_MS = 2_000;

/** Duration of observations above which an engine counts for the typical speed of its service. */
export const MIN_SPEED_WEIGHT_MS = 500;

/** Logarithm of the ratio to the typical speed below which an engine counts as typical: 1.2. */
export const SPEED_DEAD_BAND_LOG = Math.log(1.2);

/** Bound on the logarithm of one observation of an engine's speed, and of a peer's mean. */
export const MAX_SPEED_LOG = Math.log(8);

/** Most engines in one message to the peers, so that it fits a datagram. */
export const MAX_SHARED_SPEEDS_COUNT = 6;

/** Time that each run adds to a decoding step, as a share of the shortest step. */
export const STEP_GROWTH_RATIO = 0.017;

/** Half-life of the longest pause: several disturbances of an engine are as far apart. */
export const PAUSE_HALF_LIFE_MS = 15_000;

/** Observed pauses below which no pauses are expected of any engine. */
export const MIN_PAUSES_COUNT = 4;

/**
 * Cost of an engine whose streams would pause for longer than their route allows: an objective of
 * the first event, which is missed just as well.
 */
export const LONG_PAUSES_COST_MS = 1_500;

/** Duration of a run that meets a disturbance of its engine; shorter runs do so more rarely. */
export const DISTURBED_RUN_MS = 5_000;
/**
 * Share of the engines' memory that all kinds of work together, by priority, are owed before the order of
 * priorities applies. It is divided evenly among the kinds that wait.
 */
export const KINDS_FLOOR_RATIO = 0.2;

/** Memory of a generation, relative to the mean of those that wait, from which it counts as large. */
export const LARGE_NEED_RATIO = 2;

/** Window of the rates of plain calls; shares have to be in force within a second. */
export const CALL_RATE_WINDOW_MS = 1_000;

/** Window of the calls that no server took: shorter, so that the end of a shortage is seen soon. */
export const REFUSED_RATE_WINDOW_MS = 500;

/** Rate below which an account's calls are no longer counted. */
export const MIN_CALL_RATE_PER_SECOND = 0.01;

/** Most accounts of a service in a VM's report, so that it fits a datagram. */
export const MAX_REPORTED_ACCOUNTS_COUNT = 16;

/** Time after which a VM's report of its demand no longer counts: a few intervals of reports. */
export const CALL_DEMAND_RETENTION_MS = 1_500;

/** Duration of a run on an engine that writes as fast as it can, relative to the expected duration. */
export const FASTEST_RUN_RATIO = 7 / TOKEN_TIME_MS;

/**
 * Most claims, and most waiting generations, that are known of other VMs: 12, as a message of a summary holds, for each
 * of 500 VMs. A few hundred runs fill the engines of a fleet. With the longest names both take 23 to 31 MB.
 */
export const MAX_PEER_ENTRIES_COUNT = 6_000;

/** Most reports of other VMs' demand for plain services: one for each of 500 VMs, with 64 accounts at most. */
export const MAX_PEER_DEMANDS_COUNT = 500;

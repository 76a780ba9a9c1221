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
 * Cost of leaving the data centre, as a share of a run's expected duration. A partition between
 * data centres stalls the streams that cross it, and callers leave after some seconds. For a run of
 * 9 s the cost is 0.7 s, which leaves half of its objective of 1.8 s.
 */
export const OTHER_DATA_CENTRE_COST_RATIO = 0.08;

/** Fixed part of the cost of leaving the data centre, which applies to the shortest runs too. */
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
 * Tokens of memory that an engine transfers in a millisecond between data centres. The platform's
 * example states 24 Gbit/s and 160 KB a token, half that speed between data centres; a tenth is
 * deducted for the time that the orders to the engines take.
 */
export const CROSS_DATA_CENTRE_TOKENS_PER_MS = 8;

/** Cost of a plain server in another data centre, as added time to the call. */
export const OTHER_DATA_CENTRE_CALL_COST_MS = 2;

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

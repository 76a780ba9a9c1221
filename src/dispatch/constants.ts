/**
 * Prompt tokens that an engine reads in a millisecond beside running streams: half of the 14 that
 * the platform's pages state, since chunks of a prompt alternate with steps of the others.
 */
export const READ_TOKENS_PER_MS = 7;

/** Time from dispatch to the first event beside reading, in milliseconds: connection and first step. */
export const FIRST_EVENT_OVERHEAD_MS = 20;

/** Share of a run's expected rest that counts as taken: runs of one engine do not all peak at once. */
export const EXPECTED_REST_RATIO = 0.6;

/** Share of an engine's memory up to which new runs are sent there; the rest absorbs longer outputs. */
export const MAX_COMMITTED_RATIO = 0.95;

/**
 * Share of an engine's memory in use up to which it takes a run that would else be cut. The rest is
 * what its runs produce within one summary of claims: some 2,000 tokens of 22,000.
 */
export const MAX_USED_RATIO = 0.9;

/** Share of an engine's memory up to which it takes copies of other engines' runs. */
export const MAX_BACKUP_COMMITTED_RATIO = 0.5;

/** Rest that is expected of an output which is longer than expected already, as a share of it. */
export const OVERRUN_REST_RATIO = 0.35;

/**
 * Time without a first event after which a run counts as overdue: its engine is full, slow or dead,
 * whatever was expected, and gets no more until it gives one. Just under the objectives of 1.5 s.
 */
export const OVERDUE_MS = 1_400;

/** Cost, in milliseconds of first-event time, of an engine's memory being full. */
export const FULL_MEMORY_COST_MS = 600;

/** Cost of an engine whose answers all fail, in milliseconds. */
export const FAILURE_COST_MS = 4_000;

/**
 * Cost of leaving the data centre, as a share of the time that a run is expected to take: a cut
 * between data centres stalls the streams across it, and callers leave after some seconds. For a
 * report of 9 s this is 0.7 s, which still leaves half of its objective of 1.8 s.
 */
export const OTHER_DATA_CENTRE_COST_RATIO = 0.08;

/** Cost of leaving the data centre for the shortest runs, in milliseconds. */
export const OTHER_DATA_CENTRE_COST_MS = 40;

/** Typical time of one output token on a shared engine, in milliseconds; a step takes 7 and more. */
export const TOKEN_MS = 12;

/** Cost of a server to which the way seems cut, in milliseconds: taken only where no other is left. */
export const CUT_OFF_COST_MS = 10_000;

/** Wait for room after which the way to a data centre that seems cut off is tried again. */
export const CUT_OFF_TRIAL_MS = 400;

/** Cost of a call in progress at a plain server before its typical time is known, in milliseconds. */
export const UNKNOWN_CALL_MS = 20;

/** Time after which a waiting generation is no longer overtaken by smaller ones that fit. */
export const OVERTAKING_LIMIT_MS = 400;

/**
 * Time after which room that was allotted to a generation of another VM and not taken goes to the
 * next: a few times what word takes by way of two collectors and a busy VM's event loop.
 */
export const UNTAKEN_ROOM_MS = 200;

/** Shortest time to come back that a caller is told. */
export const MIN_RETRY_AFTER_MS = 300;

/** Longest time to come back that a caller is told. */
export const MAX_RETRY_AFTER_MS = 10_000;

/** Half-life of the rate at which memory is given back, in milliseconds. */
export const RELEASE_RATE_HALF_LIFE_MS = 5_000;

/**
 * Tokens of memory that an engine's link carries in a millisecond between data centres: 24 Gbit/s and
 * 160 KB a token as the platform's example states them, half as fast there, less a tenth for orders.
 */
export const SLOW_MOVE_TOKENS_PER_MS = 8;

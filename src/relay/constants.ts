/** Interval of queue scans while generations wait; short compared with an objective of 1.5 s. */
export const QUEUE_SCAN_INTERVAL_MS = 20;

/** Largest answer of a plain server; answers are buffered until they are complete. */
export const MAX_ANSWER_BYTES = 8 * 1024 * 1024;

/** Fraction of the objective after which an idempotent call is also sent to a second server. */
export const HEDGE_OBJECTIVE_RATIO = 0.8;

/** Maximum number of times that one call is sent, over all servers. */
export const MAX_SENDS_COUNT = 3;

/** Maximum number of attempts of one call if the last one could not connect and sent nothing. */
export const MAX_TRIES_COUNT = 5;

/** Servers that may end under one call; it is not repeated after that, as it may be the cause. */
export const MAX_ENDED_SERVERS_COUNT = 2;

/** Retry delay given to a caller when no better estimate exists. */
export const DEFAULT_RETRY_AFTER_MS = 500;

/** Retry delay given to a caller when this VM is stopping, so that the caller reaches another VM. */
export const STOPPING_RETRY_AFTER_MS = 50;

/** Interval without data after which the engine of a stream is probed, if the run has a backup. */
export const STREAM_SILENCE_TIMEOUT_MS = 1_500;

/** Timeout for one copy of a run's memory to another engine. */
export const MIGRATION_COPY_TIMEOUT_MS = 3_000;

/**
 * Weight of the failure ratio against the typical answer time when a server is selected for an
 * idempotent call.
 */
export const IDEMPOTENT_FAILURE_WEIGHT = 2;
/** The same weight for once-only calls, which cannot be retried after a failure. */
export const ONCE_ONLY_FAILURE_WEIGHT = 6;

/**
 * Queue priority of migrations, ahead of every priority of a caller: a run that is not migrated
 * breaks off with its engine.
 */
export const MIGRATION_PRIORITY = -1;

/**
 * Time after the termination notice within which a run may wait for a target engine. A leaving
 * engine serves for at least 1.5 s more, and for some seconds if it is not reclaimed.
 */
export const MIGRATION_WAIT_LIMIT_MS = 5_000;

/**
 * Time within which a stream that broke off is resumed. Callers give a stream up after a pause of four
 * times its objective, which is at least 1.5 s.
 */
export const RESUME_WAIT_LIMIT_MS = 5_000;

/** Interval at which a run checks for predecessors in the migration order: 1/20 of a copy's time. */
export const MIGRATION_ORDER_CHECK_INTERVAL_MS = 10;

/**
 * A run with less remaining time than this stays on its leaving engine. Reclaimed engines stop
 * 1.5 s after the termination notice.
 */
export const MIN_HANDOVER_REMAINING_MS = 500;

/** Time until the other VMs know of a changed claim: one round of the aggregators, and some network. */
export const CLAIM_UPDATE_DELAY_MS = 60;

/**
 * Time after which a run that is still on its leaving engine is handed over again, as it produced
 * more than expected or the engine did not know it yet.
 */
export const HANDOVER_RECHECK_INTERVAL_MS = 200;

/** Longest time for which a run may execute on two engines; the platform's limit is 400 ms. */
export const MAX_OVERLAP_MS = 250;

/** Timeout for an engine to close the stream of a run that it has stopped. */
export const STOPPED_STREAM_CLOSE_TIMEOUT_MS = 120;

/** Number of engines that are tried as targets of a migration before the run stays on its engine. */
export const MAX_MIGRATION_TARGETS_COUNT = 3;

/** Number of events between two updates of a run's claim. */
export const PROGRESS_EVENTS_COUNT = 8;

/** Most informational answers (1xx) that a server may send before its answer. */
export const MAX_INFORMATIONAL_ANSWERS_COUNT = 8;

/** Largest event of a stream; an event holds a few tokens. */
export const MAX_EVENT_BYTES = 64 * 1024;

/** Interval at which a call checks whether a brittle server has a place for it; a fraction of a call's work. */
export const PLACE_CHECK_INTERVAL_MS = 10;

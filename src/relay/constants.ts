/** Interval of queue scans while generations wait; short compared with an objective of 1.5 s. */
export const QUEUE_SCAN_INTERVAL_MS = 20;

/** Largest answer of a plain server; answers are buffered until they are complete. */
export const MAX_ANSWER_BYTES = 8 * 1024 * 1024;

/** Part of an answer that is read at once; larger ones wait for their turn while much is held. */
export const MAX_UNPACED_ANSWER_BYTES = 64 * 1024;

/** Share of the bytes that this VM may hold above which large answers are read one after the other. */
export const PACED_ANSWERS_RATIO = 0.25;

/**
 * Share of the bytes that this VM may hold above which the largest answers are given up. It lies below the
 * share from which calls are refused, so that servers cannot make this VM refuse calls.
 */
export const MAX_ANSWERS_RATIO = 0.6;

/** Time for which one large answer is read while others wait; 8 MB take less on a local network. */
export const ANSWER_TURN_MS = 250;

/**
 * Share of the bytes that this VM may hold above which other large answers wait until callers have read theirs, and
 * callers that read nothing are cut off. One more answer and those that are being read have room beside it.
 */
export const MAX_UNREAD_RATIO = 0.4;

/** Time after which a caller that reads nothing is cut off, if `MAX_UNREAD_RATIO` is exceeded. */
export const UNREAD_GRACE_MS = 2_000;

/** Interval at which the unread part of an answer is measured, in milliseconds. */
export const UNREAD_CHECK_INTERVAL_MS = 250;

/** Interval at which large answers that wait for callers to read are checked. */
export const CALLERS_CHECK_INTERVAL_MS = 10;

/** Failure ratio above which a server gets no later tries of calls that it has failed. */
export const UNSOUND_FAILURE_RATIO = 0.5;

/** Fraction of the objective after which an idempotent call is also sent to a second server. */
export const HEDGE_OBJECTIVE_RATIO = 0.8;

/** How much longer than the calls of its server a call has to take before it is sent to a second one. */
export const HEDGE_TIME_RATIO = 3;

/** Maximum number of times that one generation is sent, over all engines, and a plain call without a pause. */
export const MAX_SENDS_COUNT = 3;

/** Servers that may end under one call; it is not repeated after that, as it may be the cause. */
export const MAX_ENDED_SERVERS_COUNT = 2;

/** Retry delay given to a caller when no better estimate exists. */
export const DEFAULT_RETRY_AFTER_MS = 500;

/**
 * Retry delay given to a caller while all servers of its service are in evacuated data centres. Evacuations
 * last for seconds at least, and their end is known within a second or two.
 */
export const EVACUATED_RETRY_AFTER_MS = 1_000;

/** Retry delay given to a caller when this VM is stopping, so that the caller reaches another VM. */
export const STOPPING_RETRY_AFTER_MS = 50;

/** Interval without data after which the engine of a stream is probed, if the run has a backup. */
export const STREAM_SILENCE_TIMEOUT_MS = 1_500;

/** Timeout for one copy of a run's memory to another engine. */
export const MIGRATION_COPY_TIMEOUT_MS = 3_000;

/** Share of the objective up to which the times of plain servers count as equally good. */
export const TOLERABLE_OBJECTIVE_RATIO = 0.65;

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

/** Time in which an engine that drops runs whose connection is closed has done so. */
export const RUN_DROP_DELAY_MS = 40;

/** Timeout of an order to stop a run, whose answer may come only after a copy of the run's memory. */
export const STOP_TIMEOUT_MS = 1_000;

/** Delay before an unanswered order to stop a run is sent again; doubles with each repetition. */
export const STOP_RETRY_DELAY_MS = 50;

/** Time for which such orders are repeated; a run at an engine that cannot be reached may go on for longer. */
export const STOP_LIMIT_MS = 2_000;

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

/** Pause before another peer is asked for a place, after one had none; about the duration of a short call. */
export const LOAN_RETRY_INTERVAL_MS = 50;

/** Part of a service's calls that no server takes from which the service is short of room. */
export const SHORT_REFUSED_RATIO = 0.01;

/** Part of what a service serves that is not given out while it is short, so that its servers recover. */
export const SHORT_MARGIN_RATIO = 0.02;

/** Time after which a service without such refusals is no longer short of room. */
export const SHORT_RETENTION_MS = 10_000;

/** Credit of an account that goes beyond its share, in seconds of the share: bursts within it pass. */
export const CALL_BURST_SECONDS = 0.25;

/** Interval at which the shares of the accounts that call a service are computed again. */
export const CALL_SHARES_INTERVAL_MS = 50;

/** Time after which the shares of a service without calls are no longer shown. */
export const CALL_SHARES_RETENTION_MS = 2_000;

/** Interval at which a VM tells the others its demand for a service that is short of room. */
export const CALL_DEMAND_INTERVAL_MS = 250;

/** Calls served a second below which servers are missing, so that there is nothing to divide. */
export const MIN_DIVIDED_CALLS_PER_SECOND = 10;

/**
 * Growth of the calls that are let through, times the square of the seconds without notable refusals: little
 * at first, since servers that are nearly full turn calls away by chance, while servers that are added, or
 * have recovered, are in use again within seconds.
 */
export const TAKEN_GROWTH_PER_SQUARE_SECOND = 0.5;

/** Longest expected wait that is logged; it is infinite where no memory is being released. */
export const MAX_LOGGED_WAIT_MS = 1e9;

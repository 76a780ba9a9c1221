/** Time for a connection to a server; the platform's data centres are at most 2 ms apart. */
export const CONNECT_TIMEOUT_MS = 150;

/** Interval at which the queue is looked through while something waits; small beside an objective of 1.5 s. */
export const QUEUE_TICK_MS = 20;

/** Weight of the newest first event in an engine's slowness. */
export const SLOWNESS_WEIGHT = 0.25;

/** Bounds of an engine's slowness, so that one odd answer does not rule it out. */
export const MIN_SLOWNESS_RATIO = 0.5;
export const MAX_SLOWNESS_RATIO = 8;

/** Answers of plain servers are held back until they are whole, up to this size. */
export const MAX_ANSWER_BYTES = 8 * 1024 * 1024;

/** Share of an objective after which a call that bears repetition is sent to a second server. */
export const HEDGE_OBJECTIVE_RATIO = 0.8;

/** Times that one call may be sent, over all servers that it may use. */
export const MAX_SENDS_COUNT = 3;

/** Times that one call may be tried where servers cannot be reached. */
export const MAX_TRIES_COUNT = 5;

/** Time to come back after a refusal that waits for nothing in particular. */
export const DEFAULT_RETRY_AFTER_MS = 500;

/** Time to come back to another VM when this one stops. */
export const STOPPING_RETRY_AFTER_MS = 50;

/** Silence of a stream after which its engine is taken for dead, if a copy stands by. */
export const STREAM_SILENCE_MS = 1_500;

/** Time for which a copy of a run's memory is waited for. */
export const MOVE_TIMEOUT_MS = 3_000;

/** Weight of a failure against a typical time, for calls that bear repetition and for those that do not. */
export const REPEATABLE_FAILURE_WEIGHT = 2;
export const ONCE_ONLY_FAILURE_WEIGHT = 6;

/** Priority of runs that have to move: before all that callers have; a run that does not is cut. */
export const MOVE_PRIORITY = -1;

/**
 * Time after the notice in which a run looks for an engine to move to. Engines that leave serve on
 * for 1.5 s at least, and for some seconds where they are not reclaimed.
 */
export const MOVE_WAIT_LIMIT_MS = 5_000;

/** Interval at which a run that waits for its turn to move looks for those ahead: a twentieth of a copy. */
export const TURN_CHECK_MS = 10;

/** A run that ends sooner than this stays where it is: reclaimed engines are gone 1.5 s after notice. */
export const STAY_LIMIT_MS = 500;

/** Longest time for which a run may go on at two engines; the platform's pages bound it at 400 ms. */
export const MAX_OVERLAP_MS = 250;

/** Time in which a stream whose run its engine has stopped closes by itself. */
export const STOPPED_STREAM_MS = 120;

/** Engines that are asked to take a run's memory before it stays where it is. */
export const MAX_MOVE_TARGETS_COUNT = 3;

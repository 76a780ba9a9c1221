/** Subtracted from the key revocation time, for clock error and the delay of a call to a server. */
export const REVOCATION_MARGIN_MS = 400;

/** Retry delay given to a caller while this VM's view of the store is missing or too old. */
export const STALE_VIEW_RETRY_AFTER_MS = 1_000;

/** Largest request head that the HTTP parser accepts; the configuration may set a lower limit. */
export const MAX_HEAD_BYTES = 65_536;

/**
 * Most connections of callers before the first configuration, while heads may have that size: 32 MB. The heads that have
 * arrived may all be read before they can be measured.
 */
export const MAX_UNCONFIGURED_CONNECTIONS_COUNT = 512;

/**
 * Added to the configuration's limit on heads for the parser, so that heads a little above that limit get an answer
 * that names their request.
 */
export const HEAD_MARGIN_BYTES = 4_096;

/** Timeout for receiving a request's head before any configuration is known. */
export const DEFAULT_HEADER_TIMEOUT_MS = 3_000;
/** Keep-alive timeout of callers' connections before any configuration is known. */
export const DEFAULT_IDLE_TIMEOUT_MS = 15_000;

/**
 * Added to the idle timeout of the configuration, so that a call sent within that timeout is
 * never sent on a connection that is being closed.
 */
export const IDLE_MARGIN_MS = 1_000;

/**
 * Shortest time for which a stopping VM still accepts connections: two health checks of the load
 * balancer.
 */
export const MIN_DRAIN_MS = 2_500;

/** Subtracted from the grace period, so that the process exits before it is killed. */
export const GRACE_MARGIN_MS = 400;

/** Interval at which lapsed servers and stale claims are removed. */
export const SWEEP_INTERVAL_MS = 250;

/** Delay of a timer above which the process is reported as paused. */
export const PAUSE_THRESHOLD_MS = 1_000;

/**
 * Age above which updates of the server view count as interrupted: longer than the longest poll of
 * the store plus two heartbeat intervals of a large fleet.
 */
export const STALE_VIEW_AGE_MS = 2_500;

/**
 * Time after a restore of the store within which operators write again the configurations that it has lost; as long as
 * the platform states for the entries that lapsed during an outage.
 */
export const REWRITE_MS = 2_000;

/** Interval at which a stopping process checks whether all its calls are answered. */
export const DRAIN_CHECK_INTERVAL_MS = 50;

/**
 * Time before a stopping process closes its callers' connections at which calls without an answer get one of
 * this VM's own, so that the answers can be sent.
 */
export const FINAL_ANSWERS_MS = 100;

/**
 * Shortest time left to a stopping process for which it still accepts plain calls: a few times the
 * longest objective of those, 0.4 s.
 */
export const MIN_TIME_FOR_CALL_MS = 1_500;

/** How much longer than the slowest recent call of its route a call may take that a stopping VM takes. */
export const SLOWEST_CALL_RATIO = 2;

/**
 * The same for a route with too few recent calls, as a multiple of its objective or, if that is longer, of the slowest of
 * these few.
 */
export const UNKNOWN_CALL_RATIO = 4;

/** Shortest time left for calls of such a route: they are taken early in a long grace period only. */
export const MIN_TIME_FOR_UNKNOWN_CALL_MS = 3_000;

/** Fewest recent calls of a route from which the duration of its slowest calls is estimated. */
export const MIN_KNOWN_CALLS_COUNT = 20;

/** Calls of the present and the former interval of this length tell how long a route's calls take. */
export const CALL_TIMES_INTERVAL_MS = 60_000;
/** Time within which a caller whose request was refused has to end it. */
export const DISCARD_TIMEOUT_MS = 2_000;

/** Body that adds little to the memory that its call takes anyway. */
export const SMALL_BODY_BYTES = 4_096;

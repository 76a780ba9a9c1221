/** Kept back from the time within which a removed key must not run: clocks and the way to a server. */
export const REVOCATION_MARGIN_MS = 400;

/** Time to come back while the store's word is too old. */
export const STALE_VIEW_RETRY_AFTER_MS = 1_000;

/** The largest head of a request that is read at all; configuration may allow less. */
export const MAX_HEAD_BYTES = 65_536;

/** Limits on callers before any configuration is known. */
export const DEFAULT_HEADER_TIMEOUT_MS = 3_000;
export const DEFAULT_IDLE_TIMEOUT_MS = 15_000;

/** Added to the idle time that callers are told, so that a call in time never meets a closing connection. */
export const IDLE_MARGIN_MS = 1_000;

/** Time after the request to stop in which new connections may still come: two questions of the balancer. */
export const DRAIN_MIN_MS = 2_500;

/** Kept back from the grace period, so that the process ends by itself. */
export const GRACE_MARGIN_MS = 400;

/** Interval at which ends of grace and stale claims are looked for. */
export const SWEEP_INTERVAL_MS = 250;

/** A timer that fires this much later than it should means that the process stood still. */
export const PAUSE_THRESHOLD_MS = 1_000;

/**
 * Age past which a view of the servers counts as interrupted: the longest wait at the store and two
 * heartbeats of a large fleet, with room.
 */
export const DATED_VIEW_MS = 2_500;

/** Interval at which a process that stops looks whether its calls are answered. */
export const FINISH_INTERVAL_MS = 50;

/**
 * Time before the end of a stopping process in which it takes no more plain calls: a few times the
 * longest objective of those, 0.4 s.
 */
export const LAST_CALL_MS = 1_500;

/** Timeout of a request that cancels a generation. */
export const CANCEL_TIMEOUT_MS = 3_000;

/** Timeout of a request for a load report. */
export const LOAD_REPORT_TIMEOUT_MS = 2_000;

/** Timeout of a request for cache events. */
export const CACHE_EVENTS_TIMEOUT_MS = 2_000;

/** Timeout of an order to an engine. */
export const ORDER_TIMEOUT_MS = 5_000;

/** Maximum length of a line in an engine's event stream, in characters. */
export const MAX_EVENT_CHARACTERS = 4_194_304;

export const CANCEL_TIMEOUT_MS = 3_000;
export const LOAD_REPORT_TIMEOUT_MS = 2_000;
export const CACHE_EVENTS_TIMEOUT_MS = 2_000;
export const ORDER_TIMEOUT_MS = 5_000;

/** Longest line of an engine's event stream, in characters. */
export const MAX_EVENT_CHARACTERS = 4_194_304;

/** Media type of problem documents. */
export const PROBLEM_MEDIA_TYPE = "application/problem+json";

/** Media type of server-sent events. */
export const EVENT_STREAM_MEDIA_TYPE = "text/event-stream";

/** Maximum length of an idempotency key, in characters. */
export const MAX_IDEMPOTENCY_KEY_CHARACTERS = 200;

/** Assumed bytes of text per token, to estimate a prompt's length before an engine tokenizes it. */
export const BYTES_PER_TOKEN = 4;

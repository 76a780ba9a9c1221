/** Media type of errors. */
export const PROBLEM_MEDIA_TYPE = "application/problem+json";

/** Media type of server-sent events. */
export const EVENT_STREAM_MEDIA_TYPE = "text/event-stream";

/** Longest idempotency key in characters. */
export const MAX_IDEMPOTENCY_KEY_CHARACTERS = 200;

/** Bytes of text per token, for estimates of a prompt's length before an engine has seen it. */
export const BYTES_PER_TOKEN = 4;

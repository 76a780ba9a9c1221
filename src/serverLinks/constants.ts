/** Timeout for connecting to a server. The platform's data centres are at most 2 ms apart. */
export const CONNECT_TIMEOUT_MS = 150;

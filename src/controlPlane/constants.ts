/** Time that a long poll's answer may take beyond its wait. */
export const LONG_POLL_MARGIN_MS = 2_000;

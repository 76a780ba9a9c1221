/** Time that the answer of a long poll may take beyond its wait and the request timeout. */
export const LONG_POLL_MARGIN_MS = 2_000;

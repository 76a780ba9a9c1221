/**
 * Time after a run's first byte within which a crash of its server is attributed to the run. Runs
 * that crash a server do so when they begin.
 */
export const START_PHASE_MS = 1_000;

/** Timeout for finding out whether a server still listens after its connections broke. */
export const PROBE_TIMEOUT_MS = 100;

/** Time for which the result of a probe holds for the other runs of the same server. */
export const PROBE_RETENTION_MS = 500;

/** Time after a pause of this VM in which broken connections say nothing about servers. */
export const PAUSE_EXCUSE_MS = 1_000;

/**
 * Time after a run's first output within which a crash of its server is attributed to the run. Runs
 * that crash a server do so when they begin.
 */
export const START_PHASE_MS = 1_000;

/** Timeout for finding out whether a server still listens after its connections broke. */
export const PROBE_TIMEOUT_MS = 40;

/** Time for which the result of a probe holds for the other runs of the same server. */
export const PROBE_RETENTION_MS = 500;

/** Time after a pause of this VM in which broken connections say nothing about servers. */
export const PAUSE_EXCUSE_MS = 1_000;

/** Number of servers that have to end under a suspect, without a run that survives, to blame it. */
export const BLAME_ENDS_COUNT = 3;

/**
 * Servers that end within this time of each other count once: they may have a common cause, such as
 * a power loss, and the work that ran on them shares parts by chance.
 */
export const COMMON_CAUSE_MS = 100;

/** Time from the last end of a server to the first trial of a blamed suspect. */
export const FIRST_TRIAL_DELAY_MS = 10_000;

/** Factor by which that time grows with each further end. */
export const TRIAL_DELAY_FACTOR = 3;

/** Longest time between two trials, and so until the repair of the servers is noticed. */
export const MAX_TRIAL_DELAY_MS = 600_000;

/** Time for which a trial excludes others, if its outcome does not become known earlier. */
export const TRIAL_TIMEOUT_MS = 5_000;

/** Delay given to callers while a trial is likely to clear what their request has in common with it. */
export const TRIAL_RETRY_AFTER_MS = 1_000;

/** Suspects that a VM remembers; the least recently changed ones are forgotten first. */
export const MAX_SUSPECTS_COUNT = 2_048;

/** Suspects of one request that a VM records if its server ends. */
export const MAX_SUSPECTS_PER_RUN_COUNT = 256;

/** Ends of servers that are kept for one suspect, the latest ones. */
export const MAX_ENDS_COUNT = 16;

/** Time after which a suspect is forgotten if no further server crashes under it. */
export const SUSPECT_RETENTION_MS = 3_600_000;

/** Suspects in a summary for another VM, the most recently changed ones. */
export const MAX_SUMMARY_SUSPECTS_COUNT = 64;

/** Ends of servers that a report for another VM names, the latest ones. */
export const MAX_REPORTED_ENDS_COUNT = 5;

/** Suspects of one run that a log line names. */
export const MAX_LOGGED_SUSPECTS_COUNT = 16;

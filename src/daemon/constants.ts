/** Timeout of a request for one VM's part of a gathered answer, in milliseconds. */
export const GATHER_TIMEOUT_MS = 2_000;

/** Time between two checks of the certificate files, in milliseconds. */
export const CERTIFICATE_CHECK_INTERVAL_MS = 30_000;

/** Least time that the last answers have on their way to callers in a shutdown, in milliseconds. */
export const FINAL_ANSWERS_MS = 1_000;

/** Exit code of a daemon that could not start (EX_SOFTWARE of sysexits). */
export const EXIT_CODE_START_FAILED = 70;

/** Exit code of a daemon that stopped with unfinished work (EX_TEMPFAIL of sysexits). */
export const EXIT_CODE_WORK_LOST = 75;

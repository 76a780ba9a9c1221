/** Timeout of a request for one VM's part of a gathered answer, in milliseconds. */
export const GATHER_TIMEOUT_MS = 2_000;

/** Time between two checks of the certificate files, in milliseconds. */
export const CERTIFICATE_CHECK_INTERVAL_MS = 30_000;

/** Exit code of a daemon that could not start (EX_SOFTWARE of sysexits). */
export const EXIT_CODE_START_FAILED = 70;

/** Exit code of a daemon that stopped with unfinished work (EX_TEMPFAIL of sysexits). */
export const EXIT_CODE_WORK_LOST = 75;

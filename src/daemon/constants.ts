/** Longest wait for a VM's part of a gathered answer, in milliseconds. */
export const GATHER_TIMEOUT_MS = 2_000;

/** Time between two looks at the certificate files, in milliseconds. */
export const CERTIFICATE_CHECK_INTERVAL_MS = 30_000;

/** Exit code of a daemon that could not start (EX_SOFTWARE of sysexits). */
export const EXIT_CODE_START_FAILED = 70;

/** Exit code of a daemon that was made to stop while it still held work. */
export const EXIT_CODE_WORK_LOST = 75;

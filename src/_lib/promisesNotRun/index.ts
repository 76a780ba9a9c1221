/** Statuses that tell a caller that its request has not run and never will. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Whether the status of an answer promises its caller that the request has not run and never will. */
export function promisesNotRun(status: number): boolean {
  return NOT_RUN_STATUSES.has(status);
}

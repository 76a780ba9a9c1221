import * as timers from "node:timers/promises";

const POLL_INTERVAL_MS = 5;

/**
 * Polls a condition until it holds.
 *
 * @param describe - describes the current state for the error message
 * @throws Error if the condition does not hold within the timeout
 */
export async function waitUntil(
  condition: () => boolean | Promise<boolean>,
  timeoutMs: number,
  describe: () => string,
): Promise<void> {
  const deadlineMs = performance.now() + timeoutMs;
  while (!(await condition())) {
    if (performance.now() > deadlineMs) {
      throw new Error(`the condition did not hold within ${timeoutMs} ms: ${describe()}`);
    }
    await timers.setTimeout(POLL_INTERVAL_MS);
  }
}

import * as timers from "node:timers/promises";

const POLL_INTERVAL_MS = 5;

/**
 * Waits until a condition holds.
 *
 * @param describe - what was found instead, for the error
 * @throws an Error where the condition does not hold in time
 */
export async function waitUntil(
  condition: () => boolean | Promise<boolean>,
  timeoutMs: number,
  describe: () => string,
): Promise<void> {
  const deadlineMs = performance.now() + timeoutMs;
  while (!(await condition())) {
    if (performance.now() > deadlineMs) {
      throw new Error(`not so within ${timeoutMs} ms: ${describe()}`);
    }
    await timers.setTimeout(POLL_INTERVAL_MS);
  }
}

import type * as clocks from "../clock/index.js";

/** Interval at which a lasting failure is reported again. */
export const REPORT_INTERVAL_MS = 10_000;

const DEFAULT_PAUSE_MS = 100;

/** How an attempt is repeated, and who is told of it. */
export interface RetryOptions {
  readonly clock: clocks.Clock;
  /** Ends the attempts when it is aborted. */
  readonly signal?: AbortSignal;
  /** Called at the first failure and, while it lasts, in a long interval. */
  readonly onFailing: (error: unknown, failingForMs: number) => void;
  /** Called when an attempt succeeds after others have failed. */
  readonly onRecovered: (failedForMs: number) => void;
}

/**
 * Repeats an attempt, after short pauses, until it succeeds.
 *
 * @returns its value
 * @throws the signal's reason if that is aborted before an attempt succeeds
 */
export async function retryUntilDone<Value>(
  attempt: () => Promise<Value>,
  { clock, signal, onFailing, onRecovered }: RetryOptions,
): Promise<Value> {
  const startedAtMs = clock.nowMs();
  let reportedAtMs = -Infinity;
  for (;;) {
    signal?.throwIfAborted();
    try {
      const value = await attempt();
      if (reportedAtMs !== -Infinity) onRecovered(clock.nowMs() - startedAtMs);
      return value;
    } catch (error) {
      const nowMs = clock.nowMs();
      if (nowMs - reportedAtMs >= REPORT_INTERVAL_MS) {
        reportedAtMs = nowMs;
        onFailing(error, nowMs - startedAtMs);
      }
    }
    await clock.sleep(DEFAULT_PAUSE_MS);
  }
}

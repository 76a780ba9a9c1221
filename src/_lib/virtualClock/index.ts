import * as heap from "heap-js";

import type * as clocks from "../clock/index.js";

interface Timer {
  readonly dueMs: number;
  readonly sequence: number;
  readonly callback: () => void;
  isCancelled: boolean;
}

/** A clock that advances only on request; timers due at the same time fire in order of creation. */
export class VirtualClock implements clocks.Clock {
  private currentMs = 0;
  private sequence = 0;
  private readonly timers = new heap.Heap<Timer>(
    (left, right) => left.dueMs - right.dueMs || left.sequence - right.sequence,
  );

  constructor(private readonly wallOriginMs = Date.UTC(2026, 0, 1)) {}

  nowMs(): number {
    return this.currentMs;
  }

  wallTimeMs(): number {
    return this.wallOriginMs + this.currentMs;
  }

  /** Number of timers that have neither fired nor been cancelled. */
  get pendingTimersCount(): number {
    return this.timers.toArray().filter(({ isCancelled }) => !isCancelled).length;
  }

  schedule(delayMs: number, callback: () => void): Disposable {
    const timer: Timer = {
      dueMs: this.currentMs + Math.max(0, delayMs),
      sequence: this.sequence++,
      callback,
      isCancelled: false,
    };
    this.timers.push(timer);
    return {
      [Symbol.dispose]() {
        timer.isCancelled = true;
      },
    };
  }

  sleep(durationMs: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve, reject) => {
      if (signal?.aborted === true) {
        reject(toAbortError(signal));
        return;
      }
      const timer = this.schedule(durationMs, () => {
        signal?.removeEventListener("abort", onAbort);
        resolve();
      });
      const onAbort = (): void => {
        timer[Symbol.dispose]();
        reject(toAbortError(signal));
      };
      signal?.addEventListener("abort", onAbort, { once: true });
    });
  }

  /** Advances to the given time and fires every due timer in order, without settling promises. */
  advanceToMs(targetMs: number): void {
    for (;;) {
      const next = this.timers.peek();
      if (next === undefined || next.dueMs > targetMs) break;
      this.timers.pop();
      this.currentMs = Math.max(this.currentMs, next.dueMs);
      if (!next.isCancelled) next.callback();
    }
    this.currentMs = Math.max(this.currentMs, targetMs);
  }

  /** Advances by the duration from timer to timer, and lets pending promises settle after each. */
  async runForMs(durationMs: number): Promise<void> {
    const targetMs = this.currentMs + durationMs;
    await settlePromises();
    for (;;) {
      const next = this.timers.peek();
      if (next === undefined || next.dueMs > targetMs) break;
      this.advanceToMs(next.dueMs);
      await settlePromises();
    }
    this.currentMs = targetMs;
  }
}

function toAbortError(signal: AbortSignal | undefined): Error {
  const reason: unknown = signal?.reason;
  return reason instanceof Error ? reason : new Error("aborted");
}

function settlePromises(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

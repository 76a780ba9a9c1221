import * as heap from "heap-js";

import type * as clocks from "../../../_lib/clock/index.js";

interface Deadline {
  readonly atMs: number;
  readonly onExpired: () => void;
  isCancelled: boolean;
}

const MIN_DELAY_MS = 1;

/** Calls callbacks at their deadlines, with a single timer for all of them. */
export class DeadlineQueue implements Disposable {
  private readonly deadlines = new heap.Heap<Deadline>((left, right) => left.atMs - right.atMs);
  private timer: Disposable | undefined;
  private timerAtMs = Infinity;

  constructor(private readonly clock: clocks.Clock) {}

  /** Calls the callback after the timeout, unless the returned handle is disposed first. */
  add(timeoutMs: number, onExpired: () => void): Disposable {
    const deadline = { atMs: this.clock.nowMs() + timeoutMs, onExpired, isCancelled: false };
    this.deadlines.push(deadline);
    if (deadline.atMs < this.timerAtMs) this.startTimer(deadline.atMs);
    return {
      [Symbol.dispose]: () => {
        deadline.isCancelled = true;
      },
    };
  }

  [Symbol.dispose](): void {
    this.timer?.[Symbol.dispose]();
    this.deadlines.clear();
  }

  private startTimer(atMs: number): void {
    this.timer?.[Symbol.dispose]();
    this.timerAtMs = atMs;
    const delayMs = Math.max(MIN_DELAY_MS, atMs - this.clock.nowMs());
    this.timer = this.clock.schedule(delayMs, () => this.expire());
  }

  private expire(): void {
    this.timerAtMs = Infinity;
    for (let next = this.deadlines.peek(); next !== undefined; next = this.deadlines.peek()) {
      if (!next.isCancelled && next.atMs > this.clock.nowMs()) break;
      this.deadlines.pop();
      if (!next.isCancelled) next.onExpired();
    }
    const next = this.deadlines.peek();
    if (next !== undefined) this.startTimer(next.atMs);
  }
}

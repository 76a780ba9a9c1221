import type * as clocks from "../../../_lib/clock/index.js";

/** A moment by both clocks. */
export interface Moment {
  readonly atMs: number;
  readonly atWallMs: number;
}

/** The present moment. */
export function momentOf(clock: clocks.Clock): Moment {
  return { atMs: clock.nowMs(), atWallMs: clock.wallTimeMs() };
}

/**
 * A lease as its holder knows it. The term counts from before the record was sent, and by
 * whichever clock has gone further: a monotonic clock may not count the time for which a
 * virtual machine was suspended, and a wall clock may be set back.
 */
export class HeldLease {
  private isLost = false;

  constructor(
    readonly fencingNumber: number,
    private readonly termMs: number,
    private termStart: Moment,
    private readonly clock: clocks.Clock,
  ) {}

  /** Milliseconds left of the term; 0 once the lease has lapsed or was lost. */
  remainingMs(): number {
    if (this.isLost) return 0;
    const now = momentOf(this.clock);
    const elapsedMs = Math.max(
      now.atMs - this.termStart.atMs,
      now.atWallMs - this.termStart.atWallMs,
    );
    if (elapsedMs >= this.termMs) this.isLost = true;
    return Math.max(0, this.termMs - elapsedMs);
  }

  /** Whether the lease is held and will be for a time; once it is not, it never is again. */
  isHeldFor(neededMs: number): boolean {
    const remainingMs = this.remainingMs();
    return remainingMs > 0 && remainingMs >= neededMs;
  }

  /** Starts a new term after a renewal that took effect, unless the lease has lapsed before. */
  renew(termStart: Moment): void {
    if (this.remainingMs() > 0) this.termStart = termStart;
  }

  lose(): void {
    this.isLost = true;
  }
}

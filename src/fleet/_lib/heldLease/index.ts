import type * as clocks from "../../../_lib/clock/index.js";

/** A reading of the monotonic clock (`atMs`) and of the wall clock, taken together. */
export interface ClockReading {
  readonly atMs: number;
  readonly atWallMs: number;
}

/** Reads both clocks. */
export function readClocks(clock: clocks.Clock): ClockReading {
  return { atMs: clock.nowMs(), atWallMs: clock.wallTimeMs() };
}

/**
 * The holder's view of its lease. The term starts before the record is sent and elapses by the
 * clock that has advanced further: a monotonic clock may not count the time for which a virtual
 * machine was suspended, and a wall clock may be set back.
 */
export class HeldLease {
  private isLost = false;

  constructor(
    readonly fencingNumber: number,
    private readonly termMs: number,
    private termStart: ClockReading,
    private readonly clock: clocks.Clock,
  ) {}

  /** Remaining milliseconds of the term; 0 once the lease has lapsed or was lost. */
  remainingMs(): number {
    if (this.isLost) return 0;
    const now = readClocks(this.clock);
    const elapsedMs = Math.max(
      now.atMs - this.termStart.atMs,
      now.atWallMs - this.termStart.atWallMs,
    );
    if (elapsedMs >= this.termMs) this.isLost = true;
    return Math.max(0, this.termMs - elapsedMs);
  }

  /** Whether the term lasts for at least `neededMs`; a lapsed lease is never held again. */
  isHeldFor(neededMs: number): boolean {
    const remainingMs = this.remainingMs();
    return remainingMs > 0 && remainingMs >= neededMs;
  }

  /** Starts a new term after a renewal that took effect, unless the lease has lapsed. */
  renew(termStart: ClockReading): void {
    if (this.remainingMs() > 0) this.termStart = termStart;
  }

  /** Ends the lease for its holder, for example because another VM acquired it. */
  markLost(): void {
    this.isLost = true;
  }
}

import type * as clocks from "../../../_lib/clock/index.js";

/** A reading of a VM's monotonic clock and of its wall clock, taken together. */
export interface ClockReading {
  readonly steadyMs: number;
  readonly wallMs: number;
}

/** A reading that is older than any other. */
export const DISTANT_PAST: ClockReading = { steadyMs: -Infinity, wallMs: -Infinity };

/** Reads both clocks. */
export function readClocks(clock: clocks.Clock): ClockReading {
  return { steadyMs: clock.nowMs(), wallMs: clock.wallTimeMs() };
}

/** Returns the reading a duration earlier. */
export function subtractDuration(reading: ClockReading, durationMs: number): ClockReading {
  return { steadyMs: reading.steadyMs - durationMs, wallMs: reading.wallMs - durationMs };
}

/**
 * Milliseconds since a reading, by the clock that advanced further: the monotonic clock stops while
 * the VM is suspended, and the wall clock may be set back.
 */
export function ageMs(reading: ClockReading, clock: clocks.Clock): number {
  const steadyAgeMs = clock.nowMs() - reading.steadyMs;
  const wallAgeMs = clock.wallTimeMs() - reading.wallMs;
  return Math.max(0, steadyAgeMs, wallAgeMs);
}

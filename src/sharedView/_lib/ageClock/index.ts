import type * as clocks from "../../../_lib/clock/index.js";

/** A point in time on both clocks of a VM. */
export interface Moment {
  readonly steadyMs: number;
  readonly wallMs: number;
}

/** Long before anything. */
export const NEVER: Moment = { steadyMs: -Infinity, wallMs: -Infinity };

/** The present moment. */
export function nowOf(clock: clocks.Clock): Moment {
  return { steadyMs: clock.nowMs(), wallMs: clock.wallTimeMs() };
}

/** The moment that lies a duration before another. */
export function before(moment: Moment, durationMs: number): Moment {
  return { steadyMs: moment.steadyMs - durationMs, wallMs: moment.wallMs - durationMs };
}

/**
 * Time since a moment, by the clock that moved further: the steady clock stands still while a
 * machine is suspended, and the wall clock may be set back.
 */
export function ageMs(moment: Moment, clock: clocks.Clock): number {
  const steadyAgeMs = clock.nowMs() - moment.steadyMs;
  const wallAgeMs = clock.wallTimeMs() - moment.wallMs;
  return Math.max(0, steadyAgeMs, wallAgeMs);
}

/** Length of one slot of the burn record in milliseconds. */
export const BURN_SLOT_MS = 60_000;

/** Slots kept: six hours. */
export const BURN_SLOTS_COUNT = 360;

/** Length of one histogram's slot in milliseconds. */
export const HISTOGRAM_SLOT_MS = 600_000;

/** Histogram slots kept: one hour. */
export const HISTOGRAM_SLOTS_COUNT = 6;

/** Largest value that a histogram distinguishes, in milliseconds: four hours. */
export const HISTOGRAM_MAX_MS = 14_400_000;

/** Requests whose decisions are kept. */
export const TRACED_REQUESTS_COUNT = 4_096;

/** Decisions kept per request; later ones replace those in the middle. */
export const TRACE_EVENTS_COUNT = 128;

/** The windows of the burn report in milliseconds: five minutes, one hour, six hours. */
export const BURN_WINDOWS_MS = [300_000, 3_600_000, 21_600_000] as const;

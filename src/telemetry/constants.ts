/** Length of one slot of the burn counters, in milliseconds. */
export const BURN_SLOT_MS = 60_000;

/** Number of slots of the burn counters that are kept: six hours. */
export const BURN_SLOTS_COUNT = 360;

/** Length of one histogram's slot, in milliseconds. */
export const HISTOGRAM_SLOT_MS = 600_000;

/** Number of histogram slots that are kept: one hour. */
export const HISTOGRAM_SLOTS_COUNT = 6;

/** Largest value that a histogram records, in milliseconds: four hours; larger ones are clamped. */
export const HISTOGRAM_MAX_MS = 14_400_000;

/** Default of the maximum number of requests whose traces are kept. */
export const DEFAULT_TRACED_REQUESTS_COUNT = 4_096;

/** Maximum number of trace events per request; beyond it, events in the middle are dropped. */
export const MAX_TRACE_EVENTS_COUNT = 128;

/** Windows of the burn report, in milliseconds: five minutes, one hour, six hours. */
export const BURN_WINDOWS_MS = [300_000, 3_600_000, 21_600_000] as const;

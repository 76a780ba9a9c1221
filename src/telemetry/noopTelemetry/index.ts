import type * as types from "../types.js";

/** Metrics that discard every value, for tests and tools. */
export const NOOP_METRICS: types.Metrics = {
  increment: () => undefined,
  gauge: () => undefined,
  observe: () => undefined,
  recordCompletion: () => undefined,
};

/** Tracer that discards every event, for tests and tools. */
export const NOOP_TRACER: types.Tracer = {
  record: () => undefined,
  trace: () => [],
};

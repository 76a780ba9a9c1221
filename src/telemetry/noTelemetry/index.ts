import type * as types from "../types.js";

/** Metrics that go nowhere, for tests and tools. */
export const NO_METRICS: types.Metrics = {
  increment: () => undefined,
  gauge: () => undefined,
  observe: () => undefined,
  completed: () => undefined,
};

/** A tracer that keeps nothing, for tests and tools. */
export const NO_TRACER: types.Tracer = {
  record: () => undefined,
  trace: () => [],
};

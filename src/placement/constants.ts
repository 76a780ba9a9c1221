/** Time between two plans of a data centre's placement, in milliseconds. */
export const PLAN_INTERVAL_MS = 5_000;

/** Longest wait for a home's account of its engines, in milliseconds. */
export const REPORT_TIMEOUT_MS = 1_000;

/** Time that an order may be on its way; the lease must last beyond it. */
export const ORDER_MARGIN_MS = 2_000;

/** Time after which an order to load that had no effect is given again, in milliseconds. */
export const LOAD_PATIENCE_MS = 120_000;

/** Weight of the newest look in the learned demand. */
export const DEMAND_SMOOTHING = 0.2;

/** Peer method that asks a home for what it knows of its engines. */
export const REPORT_METHOD = "placement.report";

/** Time between two placement plans of a data centre. */
export const PLAN_INTERVAL_MS = 5_000;

/** Timeout of a request for a home's report on its engines. */
export const REPORT_TIMEOUT_MS = 1_000;

/** Least remaining lease time with which an order is sent, to cover its delivery. */
export const ORDER_DELIVERY_MARGIN_MS = 2_000;

/** Time after which a load order without effect is repeated. */
export const LOAD_TIMEOUT_MS = 120_000;

/** Weight of the newest observation in the moving average of a model's demand. */
export const NEWEST_DEMAND_WEIGHT = 0.2;

/** Peer method by which the lease holder requests a home's report on its engines. */
export const REPORT_METHOD = "placement.report";

export * from "./findViewsAt/index.js";
export * from "./explainRequest/index.js";
export * from "./parseLogLine/index.js";
export * from "./findRequestHistory/index.js";
export * from "./findStreamAttempts/index.js";
export * from "./types.js";
export * from "./explainUnservedRequests/index.js";

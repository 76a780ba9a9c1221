export * from "./viewsAt/index.js";
export * from "./explainRequest/index.js";
export * from "./parseLogLine/index.js";
export * from "./requestHistory/index.js";
export * from "./types.js";
export * from "./unservedRequests/index.js";

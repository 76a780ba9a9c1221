export * from "./addressOf/index.js";
export * from "./coldLimits/index.js";
export * from "./coldRemaining/index.js";
export * from "./overloadGuard/index.js";
export * from "./serverDirectory/index.js";
export * from "./serverBackpressure/index.js";
export * from "./serverTrust/index.js";
export * from "./types.js";

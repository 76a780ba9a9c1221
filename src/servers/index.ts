export * from "./addressOf/index.js";
export * from "./overloadGuard/index.js";
export * from "./serverDirectory/index.js";
export * from "./serverBackpressure/index.js";
export * from "./serverLoads/index.js";
export * from "./serverTrust/index.js";
export * from "./types.js";

export * from "./boundedWriter/index.js";
export * from "./decisionLog/index.js";
export * from "./meters/index.js";
export * from "./recordInternalError/index.js";
export * from "./reportUncaughtErrors/index.js";
export * from "./types.js";

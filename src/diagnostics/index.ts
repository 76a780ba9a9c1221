export * from "./boundedWriter/index.js";
export * from "./decisionLog/index.js";
export * from "./meters/index.js";
export * from "./types.js";

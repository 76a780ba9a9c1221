export * from "./applyCallRecord/index.js";
export * from "./calls/index.js";
export * from "./createCallsState/index.js";
export * from "./decideOnKey/index.js";
export * from "./types.js";

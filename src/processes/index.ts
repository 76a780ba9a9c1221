export * from "./awaitSettings/index.js";
export * from "./createStop/index.js";
export * from "./listenWhenFree/index.js";
export * from "./processOutput/index.js";
export type * from "./processGuard/index.js";

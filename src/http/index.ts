export * from "./adminServer/index.js";
export type * from "./adminTypes.js";
export * from "./callerServer/index.js";
export * from "./completionEvents/index.js";
export * from "./hashKey/index.js";
export * from "./createProblem/index.js";
export * from "./requestSchema/index.js";
export type * from "./types.js";

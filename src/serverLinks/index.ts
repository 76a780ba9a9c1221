export * from "./serverConnector/index.js";
export type * from "./types.js";

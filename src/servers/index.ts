export * from "./serverDirectory/index.js";
export * from "./serverTrust/index.js";
export * from "./types.js";

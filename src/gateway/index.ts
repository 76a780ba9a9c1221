export * from "./gateway/index.js";
export * from "./types.js";

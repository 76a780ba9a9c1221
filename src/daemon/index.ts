export * from "./createDaemon/index.js";
export * from "./daemon/index.js";

export * from "./createRoutingTable/index.js";
export * from "./listServiceNames/index.js";
export * from "./matchRoute/index.js";
export * from "./selectService/index.js";
export * from "./types.js";

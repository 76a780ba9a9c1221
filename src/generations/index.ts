export * from "./types.js";
export { createRequestId, parseRequestHints } from "./createRequestId/index.js";
export { Generations } from "./generations/index.js";
export { selectHome } from "./selectHome/index.js";
export { selectStandby } from "./selectStandby/index.js";

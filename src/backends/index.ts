export { HttpEngineClient } from "./httpEngineClient/index.js";
export { HttpEngineClients } from "./httpEngineClients/index.js";
export { HttpServiceClient } from "./httpServiceClient/index.js";
export { HttpServiceClients } from "./httpServiceClients/index.js";
export * as engineWire from "./_lib/engineWire.js";
export { FinishReason, OrderKind } from "./types.js";
export type * from "./types.js";

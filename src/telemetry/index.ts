export * from "./burnRate/index.js";
export * from "./burnRecorder/index.js";
export * from "./createLogger/index.js";
export * from "./mergeBurn/index.js";
export * from "./noTelemetry/index.js";
export * from "./telemetryHub/index.js";
export * from "./traceRing/index.js";
export * from "./types.js";

export * from "./calculateBurnRate/index.js";
export * from "./burnRecorder/index.js";
export * from "./createLogger/index.js";
export * from "./mergeBurn/index.js";
export * from "./noopTelemetry/index.js";
export * from "./telemetryHub/index.js";
export * from "./traceRing/index.js";
export * from "./types.js";

export * from "./createFingerprint/index.js";
export * from "./crashLedger/index.js";
export * from "./crashMonitor/index.js";
export * from "./listSuspects/index.js";
export * from "./probeListener/index.js";
export * from "./types.js";

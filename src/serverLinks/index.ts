export { MAX_SERVED_TUNNELS_COUNT, SILENCE_TIMEOUT_MS } from "./constants.js";
export * from "./linkMonitor/index.js";
export * from "./peerStatements/index.js";
export * from "./selectTunnelPeers/index.js";
export * from "./serverConnector/index.js";
export * from "./silenceMonitor/index.js";
export * from "./tunnelFinder/index.js";
export * from "./tunnelServer/index.js";
export * from "./types.js";

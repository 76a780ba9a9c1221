export * from "./linkMonitor/index.js";
export * from "./peerStatements/index.js";
export * from "./selectTunnelPeers/index.js";
export * from "./serverConnector/index.js";
export * from "./tunnelServer/index.js";
export type * from "./types.js";

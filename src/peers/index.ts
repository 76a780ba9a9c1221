export * from "./types.js";
export { DEFAULT_PEER_OPTIONS } from "./constants.js";
export { TcpPeerNetwork } from "./tcpPeerNetwork/index.js";

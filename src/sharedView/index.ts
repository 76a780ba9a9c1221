export { MAX_REPLICA_BYTES } from "./constants.js";
export * from "./peerMesh/index.js";
export * from "./recordRoom/index.js";
export * from "./replicaClient/index.js";
export * from "./replicaServer/index.js";
export * from "./topicReader/index.js";
export * from "./topicReplica/index.js";
export * from "./types.js";

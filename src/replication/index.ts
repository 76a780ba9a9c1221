export * from "./limitTime/index.js";
export * from "./mapConcurrently/index.js";
export * from "./streamFollower/index.js";
export * from "./types.js";

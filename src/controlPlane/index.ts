export { HttpLogService } from "./httpLogService/index.js";
export { HttpVmList } from "./httpVmList/index.js";
export { HttpWeightStore } from "./httpWeightStore/index.js";
export { LogStream, VmListing } from "./types.js";
export type * from "./types.js";

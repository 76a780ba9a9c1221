export * from "./types.js";
export { createReport } from "./createReport/index.js";
export { listModelDemands } from "./listModelDemands/index.js";
export { Placement, type PlacementReportSource } from "./placement/index.js";
export { isLoadDone, toPlacementEngines } from "./toPlacementEngines/index.js";

export * from "./types.js";
export { EngineScheduler, type EngineSchedulerOptions } from "./engineScheduler/index.js";
export { LengthHistogram, type LengthHistogramSnapshot } from "./lengthHistogram/index.js";
export { LengthLearner, type LengthSnapshots } from "./lengthLearner/index.js";
export { LengthCurve } from "./lengthCurve/index.js";
export { priorityOf } from "./priorityOf/index.js";
export {
  hasModelLoaded,
  selectEngine,
  type EngineChoice,
  type SelectEngineOptions,
} from "./selectEngine/index.js";
export { selectVictims } from "./selectVictims/index.js";
export { WaitingQueue, type WaitingQueueOptions } from "./waitingQueue/index.js";
export { PrefixIndex } from "./prefixIndex/index.js";
export {
  modelKeyOf,
  planPlacement,
  type ModelDemand,
  type PlacementEngine,
  type PlacementOrder,
  type PlanPlacementOptions,
} from "./planPlacement/index.js";

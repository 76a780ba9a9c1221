import type * as backends from "../backends/types.js";

/** A home's report on one of its engines. */
export interface EngineReport {
  readonly name: string;
  readonly loadedModels: readonly backends.LoadedModel[];
  /** Whether the engine is live and not leaving. */
  readonly isStaying: boolean;
  /** Count of running generations by `model/version`. */
  readonly runningCounts: Readonly<Record<string, number>>;
}

/** A VM's report on the engines whose home it is and on the generations that wait at it. */
export interface PlacementReport {
  readonly engines: readonly EngineReport[];
  /** Count of waiting generations by `model/version`. */
  readonly waitingCounts: Readonly<Record<string, number>>;
}

/** A load order whose effect no report shows yet. */
export interface PendingLoad {
  readonly engineName: string;
  readonly model: string;
  readonly version: string;
  readonly adapter: string | null;
  /** When the order was sent, on the clock of the lease holder. */
  readonly orderedAtMs: number;
}

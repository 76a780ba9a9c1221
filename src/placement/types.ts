import type * as backends from "../backends/types.js";

/** What a home tells about one of its engines. */
export interface EngineReport {
  readonly name: string;
  readonly loadedModels: readonly backends.LoadedModel[];
  readonly isStaying: boolean;
  /** Running and waiting generations by `model/version`. */
  readonly runningCounts: Readonly<Record<string, number>>;
}

/** What a VM tells about the engines whose home it is, and about what waits there. */
export interface PlacementReport {
  readonly engines: readonly EngineReport[];
  /** Waiting generations by `model/version`. */
  readonly waitingCounts: Readonly<Record<string, number>>;
}

/** An order to load a model that has not shown its effect yet. */
export interface PendingLoad {
  readonly engineName: string;
  readonly model: string;
  readonly version: string;
  readonly adapter: string | null;
  readonly orderedAtMs: number;
}

import * as neverthrow from "neverthrow";

import type * as backends from "../../../src/backends/types.js";
import * as backendTypes from "../../../src/backends/types.js";
import type * as clocks from "../../../src/_lib/clock/index.js";
import * as stepError from "../../../src/_lib/stepError/index.js";

/** Options of an order executor. */
export interface OrderExecutorOptions {
  readonly name: string;
  readonly checksFencing: boolean;
  readonly modelLoadMs: number;
  readonly loadedModels: readonly backends.LoadedModel[];
  /** Reserves a load at the weight store; returns the milliseconds until it may begin. */
  readonly reserveLoad?: () => number;
}

type OrderHandler = (order: backends.EngineOrder) => void;

/** Executes orders to load and unload models and to set the role; with `checksFencing` it refuses outdated ones. */
export class OrderExecutor {
  private loaded: readonly backends.LoadedModel[];
  private highestFencingNumber = -1;
  private currentRole = "mixed";
  private readonly handlers: Readonly<Record<backends.OrderKind, OrderHandler>> = {
    [backendTypes.OrderKind.LoadModel]: (order) => this.load(order),
    [backendTypes.OrderKind.UnloadModel]: (order) => this.unload(order),
    [backendTypes.OrderKind.SetRole]: (order) => {
      this.currentRole = order.role ?? this.currentRole;
    },
  };

  constructor(
    private readonly options: OrderExecutorOptions,
    private readonly clock: clocks.Clock,
  ) {
    this.loaded = options.loadedModels;
  }

  /** The models that are loaded now, with their adapters. */
  get loadedModels(): readonly backends.LoadedModel[] {
    return this.loaded;
  }

  /** The role set by the last order, initially `mixed`. */
  get role(): string {
    return this.currentRole;
  }

  /** Whether a model, and its adapter if one is given, is loaded. */
  hasModel(model: string, version: string, adapter: string | null): boolean {
    return this.loaded.some(
      (item) =>
        item.model === model &&
        item.version === version &&
        (adapter === null || item.adapters.includes(adapter)),
    );
  }

  /** Executes an order; with `checksFencing`, fails if its fencing number is lower than one executed before. */
  execute(order: backends.EngineOrder): neverthrow.Result<void, stepError.StepError> {
    if (this.options.checksFencing && order.fencingNumber < this.highestFencingNumber) {
      return neverthrow.err(this.staleOrderError(order));
    }
    this.highestFencingNumber = Math.max(this.highestFencingNumber, order.fencingNumber);
    this.handlers[order.kind](order);
    return neverthrow.ok();
  }

  private load(order: backends.EngineOrder): void {
    const { model, version, adapter } = order;
    if (model === undefined || version === undefined) return;
    if (this.hasModel(model, version, adapter ?? null)) return;
    const waitMs = this.options.reserveLoad?.() ?? 0;
    this.clock.schedule(waitMs + this.options.modelLoadMs, () => {
      if (this.hasModel(model, version, adapter ?? null)) return;
      const existing = this.loaded.find((item) => item.model === model && item.version === version);
      const adapters = [...(existing?.adapters ?? []), ...(adapter === undefined ? [] : [adapter])];
      this.loaded = [
        ...this.loaded.filter((item) => item !== existing),
        { model, version, adapters },
      ];
    });
  }

  private unload(order: backends.EngineOrder): void {
    this.loaded = this.loaded.filter(
      (item) => item.model !== order.model || item.version !== order.version,
    );
  }

  private staleOrderError(order: backends.EngineOrder): stepError.StepError {
    const message = `fencing number ${order.fencingNumber} is older than ${this.highestFencingNumber}`;
    return new stepError.StepError(message, {
      code: stepError.ErrorCode.Conflict,
      step: "engine.order",
      peer: this.options.name,
      execution: stepError.ExecutionState.NotRun,
    });
  }
}

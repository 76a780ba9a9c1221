import * as neverthrow from "neverthrow";

import type * as backends from "../../../../../src/backends/types.js";
import * as backendTypes from "../../../../../src/backends/types.js";

const CAPACITY_TOKENS = 1_000_000_000;

/** A fake engine that produces one token for every stream in each event loop iteration. */
export class FloodEngine implements backends.EngineClient {
  private pendingIteration: Promise<void> | null = null;

  constructor(readonly name: string) {}

  async *start(
    request: backends.EngineRequest,
    signal: AbortSignal,
  ): AsyncGenerator<backends.EngineFrame> {
    for (let offset = 0; offset < request.maxTokens && !signal.aborted; offset += 1) {
      await this.waitForNextIteration();
      const isLast = offset === request.maxTokens - 1;
      const finishReason = isLast ? backendTypes.FinishReason.Length : null;
      yield { offset, tokens: [" token"], finishReason };
    }
  }

  resume(): AsyncIterable<backends.EngineFrame> {
    throw new Error("FloodEngine does not support resume");
  }

  cancel(): ReturnType<backends.EngineClient["cancel"]> {
    return Promise.resolve(neverthrow.ok());
  }

  loadReport(): ReturnType<backends.EngineClient["loadReport"]> {
    return Promise.resolve(
      neverthrow.ok({
        takenAtMs: performance.now(),
        runningCount: 0,
        waitingCount: 0,
        usedTokens: 0,
        capacityTokens: CAPACITY_TOKENS,
        stepTimeMs: 1,
        preemptionsCount: 0,
        loadedModels: [{ model: "m", version: "1", adapters: [] }],
        running: [],
        leavingInMs: null,
      }),
    );
  }

  cacheEvents(): ReturnType<backends.EngineClient["cacheEvents"]> {
    return Promise.resolve(neverthrow.ok([]));
  }

  order(): ReturnType<backends.EngineClient["order"]> {
    return Promise.resolve(neverthrow.ok());
  }

  /**
   * Waits for the next event loop iteration; all streams share it and advance together, as in a
   * batch.
   */
  private waitForNextIteration(): Promise<void> {
    this.pendingIteration ??= new Promise((resolve) => {
      setImmediate(() => {
        this.pendingIteration = null;
        resolve();
      });
    });
    return this.pendingIteration;
  }
}

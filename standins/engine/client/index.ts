import type * as neverthrow from "neverthrow";
import * as neverthrowResults from "neverthrow";

import type * as clocks from "../../../src/_lib/clock/index.js";
import * as stepError from "../../../src/_lib/stepError/index.js";
import type * as backends from "../../../src/backends/types.js";
import type * as catalogue from "../../../src/catalogue/types.js";
import type * as models from "../model/index.js";
import type * as types from "../types.js";

type OpenStream = (sink: types.StreamSink) => neverthrow.Result<void, stepError.StepError>;

/** An engine client that calls a stand-in engine's model in the same process. */
export class ModelEngineClient implements backends.EngineClient {
  /** @param latencyMs - time before each request reaches the model */
  constructor(
    readonly name: string,
    private readonly model: models.EngineModel,
    private readonly clock: clocks.Clock,
    private readonly latencyMs = 0,
  ) {}

  start(request: backends.EngineRequest, signal: AbortSignal): AsyncIterable<backends.EngineFrame> {
    return this.open("engine.start", signal, (sink) => this.model.start(request, sink));
  }

  resume(
    requestId: string,
    attempt: number,
    fromOffset: number,
    signal: AbortSignal,
  ): AsyncIterable<backends.EngineFrame> {
    return this.open("engine.resume", signal, (sink) =>
      this.model.resume(requestId, attempt, fromOffset, sink),
    );
  }

  async cancel(
    requestId: string,
    attempt: number,
  ): Promise<neverthrow.Result<void, stepError.StepError>> {
    await this.clock.sleep(this.latencyMs);
    if (this.model.isDead()) return neverthrowResults.err(this.createBrokenError("engine.cancel"));
    this.model.cancel(requestId, attempt);
    return neverthrowResults.ok();
  }

  async loadReport(): Promise<neverthrow.Result<backends.EngineLoadReport, stepError.StepError>> {
    await this.clock.sleep(this.latencyMs);
    if (this.model.isDead())
      return neverthrowResults.err(this.createBrokenError("engine.load-report"));
    return neverthrowResults.ok(this.model.loadReport());
  }

  async cacheEvents(
    afterSequence: number,
  ): Promise<neverthrow.Result<readonly backends.CacheEvent[], stepError.StepError>> {
    await this.clock.sleep(this.latencyMs);
    if (this.model.isDead())
      return neverthrowResults.err(this.createBrokenError("engine.cache-events"));
    return neverthrowResults.ok(this.model.cache.eventsAfter(afterSequence));
  }

  async order(order: backends.EngineOrder): Promise<neverthrow.Result<void, stepError.StepError>> {
    await this.clock.sleep(this.latencyMs);
    if (this.model.isDead()) return neverthrowResults.err(this.createBrokenError("engine.order"));
    return this.model.orders.execute(order);
  }

  private async *open(
    step: string,
    signal: AbortSignal,
    openStream: OpenStream,
  ): AsyncGenerator<backends.EngineFrame> {
    if (this.latencyMs > 0) await this.clock.sleep(this.latencyMs, signal);
    const frames = new FrameQueue(signal);
    const opened = openStream({
      onFrame: (frame) => frames.push(frame),
      onBroken: (reason) => frames.fail(this.createBrokenError(step, reason)),
    });
    if (opened.isErr()) throw opened.error;
    for (;;) {
      const frame = await frames.shift();
      yield frame;
      if (frame.finishReason !== null) return;
    }
  }

  private createBrokenError(step: string, message = "connection refused"): stepError.StepError {
    return new stepError.StepError(message, {
      code: stepError.ErrorCode.BackendFailed,
      step,
      peer: this.name,
      execution: stepError.ExecutionState.Unknown,
    });
  }
}

/** Creates and caches the clients of stand-in engines by engine name. */
export class ModelEngineClients implements backends.EngineClients {
  private readonly clients = new Map<string, ModelEngineClient>();

  constructor(
    private readonly models: ReadonlyMap<string, models.EngineModel>,
    private readonly clock: clocks.Clock,
    private readonly latencyMs = 0,
  ) {}

  clientFor(engine: catalogue.EngineBackend): backends.EngineClient {
    const known = this.clients.get(engine.name);
    if (known !== undefined) return known;
    const model = this.models.get(engine.name);
    if (model === undefined) throw new Error(`no stand-in engine is named ${engine.name}`);
    const client = new ModelEngineClient(engine.name, model, this.clock, this.latencyMs);
    this.clients.set(engine.name, client);
    return client;
  }
}

/** Queues frames between the model's callbacks and the reader of the stream. */
class FrameQueue {
  private readonly frames: backends.EngineFrame[] = [];
  private failure: Error | null = null;
  private wake: (() => void) | null = null;

  constructor(signal: AbortSignal) {
    const onAbort = (): void => this.fail(new Error("the stream was closed"));
    if (signal.aborted) onAbort();
    signal.addEventListener("abort", onAbort, { once: true });
  }

  push(frame: backends.EngineFrame): void {
    this.frames.push(frame);
    this.wake?.();
  }

  fail(error: Error): void {
    this.failure ??= error;
    this.wake?.();
  }

  async shift(): Promise<backends.EngineFrame> {
    for (;;) {
      const frame = this.frames.shift();
      if (frame !== undefined) return frame;
      if (this.failure !== null) throw this.failure;
      await new Promise<void>((resolve) => (this.wake = resolve));
    }
  }
}

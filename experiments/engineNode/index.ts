import type * as backends from "../../src/backends/types.js";
import * as backendTypes from "../../src/backends/types.js";
import * as engines from "../../src/engines/index.js";
import type * as engineTypes from "../../src/engines/types.js";
import * as engineModels from "../../standins/engine/model/index.js";
import type * as standins from "../../standins/engine/types.js";
import * as liveRequests from "../liveRequest/index.js";
import type * as recorders from "../recorder/index.js";

type LiveRequest = liveRequests.LiveRequest;

/** Receives events of an engine node. */
export interface EngineNodeListener {
  /** A generation was suspended or its engine failed, and it must be routed again. */
  onInterrupted(request: LiveRequest): void;
  /** A generation ended and freed engine memory. */
  onCapacityFreed(node: EngineNode): void;
}

/** Dependencies of an engine node. */
export interface EngineNodeOptions {
  readonly name: string;
  readonly homeVmIndex: number;
  readonly model: engineModels.EngineModel;
  readonly scheduler: engineTypes.EngineScheduler;
  readonly recorder: recorders.Recorder;
  readonly listener: EngineNodeListener;
  readonly nowMs: () => number;
}

/** An engine and the part of its home VM that schedules it. */
export class EngineNode {
  readonly name: string;
  readonly scheduler: engineTypes.EngineScheduler;
  private readonly requests = new Map<string, LiveRequest>();

  constructor(readonly options: EngineNodeOptions) {
    this.name = options.name;
    this.scheduler = options.scheduler;
  }

  /**
   * Starts an admitted request on the engine; if the engine rejects it, the listener routes it
   * again.
   */
  start(request: LiveRequest): void {
    const nowMs = this.options.nowMs();
    const need = liveRequests.createCurrentNeed(request);
    request.attempt += 1;
    this.requests.set(need.requestId, request);
    this.scheduler.onStarted(need, nowMs);
    const started = this.options.model.start(
      createEngineRequest(request, need),
      this.createSink(request),
    );
    if (started.isErr()) this.interruptRequest(request);
  }

  /** Applies the engine's load report and suspends the generations that the scheduler selects. */
  processLoadReport(): void {
    const nowMs = this.options.nowMs();
    if (this.options.model.isDead()) return;
    this.scheduler.onLoadReport(this.options.model.loadReport(), nowMs);
    for (const requestId of this.scheduler.selectSuspensions(nowMs)) this.suspend(requestId);
  }

  private suspend(requestId: string): void {
    const request = this.requests.get(requestId);
    if (request === undefined) return;
    this.requests.delete(requestId);
    this.options.model.cancel(requestId, request.attempt);
    request.suspensionsCount += 1;
    this.options.recorder.suspensionsCount += 1;
    this.scheduler.onEnded(requestId, this.options.nowMs(), false);
    this.options.listener.onInterrupted(request);
  }

  private createSink(request: LiveRequest): standins.StreamSink {
    const { attempt } = request;
    const isCurrent = (): boolean =>
      request.attempt === attempt && this.requests.has(request.plan.requestId);
    return {
      onFrame: (frame) => {
        if (isCurrent()) this.deliver(request, frame);
      },
      onBroken: () => {
        if (isCurrent()) this.interruptRequest(request);
      },
    };
  }

  private deliver(request: LiveRequest, frame: backends.EngineFrame): void {
    const { recorder, nowMs } = this.options;
    const { caller } = request;
    const isNext = frame.offset === caller.deliveredTokens;
    if (isNext) frame.tokens.forEach(() => recorder.onToken(caller, nowMs()));
    this.scheduler.onProgress(request.plan.requestId, caller.deliveredTokens, nowMs());
    if (frame.finishReason === null) return;
    if (frame.finishReason === backendTypes.FinishReason.Cancelled) return;
    this.requests.delete(request.plan.requestId);
    this.scheduler.onEnded(request.plan.requestId, nowMs(), true);
    recorder.onCompleted(caller);
    this.options.listener.onCapacityFreed(this);
  }

  private interruptRequest(request: LiveRequest): void {
    this.requests.delete(request.plan.requestId);
    this.scheduler.onEnded(request.plan.requestId, this.options.nowMs(), false);
    this.options.listener.onInterrupted(request);
  }
}

function createEngineRequest(
  request: LiveRequest,
  need: engines.GenerationNeed,
): backends.EngineRequest {
  return {
    requestId: need.requestId,
    attempt: request.attempt,
    model: need.model,
    version: need.version,
    adapter: need.adapter,
    prompt: request.prompt,
    prefixTokens: new Array<string>(need.producedTokens).fill(""),
    maxTokens: need.maxTokens,
    priority: engines.priorityOf(need.class),
    seed: 1,
  };
}

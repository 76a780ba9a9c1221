import type * as backends from "../../src/backends/types.js";
import * as backendTypes from "../../src/backends/types.js";
import * as engines from "../../src/engines/index.js";
import type * as engineTypes from "../../src/engines/types.js";
import * as engineModels from "../../standins/engine/model/index.js";
import type * as standins from "../../standins/engine/types.js";
import * as liveRequests from "../liveRequest/index.js";
import type * as recorders from "../recorder/index.js";

type LiveRequest = liveRequests.LiveRequest;

/** What an engine node tells the run. */
export interface EngineNodeListener {
  /** A generation lost its place; its need goes back to where work waits. */
  onReturned(request: LiveRequest): void;
  /** Memory was freed. */
  onRoom(node: EngineNode): void;
}

/** What an engine node is made of. */
export interface EngineNodeParts {
  readonly name: string;
  readonly homeVmIndex: number;
  readonly model: engineModels.EngineModel;
  readonly scheduler: engineTypes.EngineScheduler;
  readonly recorder: recorders.Recorder;
  readonly listener: EngineNodeListener;
  readonly nowMs: () => number;
}

/** An engine and the part of its home VM that dispatches to it. */
export class EngineNode {
  readonly name: string;
  readonly scheduler: engineTypes.EngineScheduler;
  private readonly requests = new Map<string, LiveRequest>();

  constructor(readonly parts: EngineNodeParts) {
    this.name = parts.name;
    this.scheduler = parts.scheduler;
  }

  /** Dispatches admitted work to the engine. */
  start(request: LiveRequest): void {
    const nowMs = this.parts.nowMs();
    const need = liveRequests.needOf(request);
    request.attempt += 1;
    this.requests.set(need.requestId, request);
    this.scheduler.onStarted(need, nowMs);
    const started = this.parts.model.start(engineRequestOf(request, need), this.sinkOf(request));
    if (started.isErr()) this.giveBack(request);
  }

  /** Reads the load report and suspends what the scheduler says. */
  tick(): void {
    const nowMs = this.parts.nowMs();
    if (this.parts.model.isDead()) return;
    this.scheduler.onLoadReport(this.parts.model.loadReport(), nowMs);
    for (const requestId of this.scheduler.selectSuspensions(nowMs)) this.suspend(requestId);
  }

  private suspend(requestId: string): void {
    const request = this.requests.get(requestId);
    if (request === undefined) return;
    this.requests.delete(requestId);
    this.parts.model.cancel(requestId, request.attempt);
    request.suspensionsCount += 1;
    this.parts.recorder.suspensionsCount += 1;
    this.scheduler.onEnded(requestId, this.parts.nowMs(), false);
    this.parts.listener.onReturned(request);
  }

  private sinkOf(request: LiveRequest): standins.StreamSink {
    const { attempt } = request;
    const isCurrent = (): boolean =>
      request.attempt === attempt && this.requests.has(request.plan.requestId);
    return {
      onFrame: (frame) => {
        if (isCurrent()) this.deliver(request, frame);
      },
      onBroken: () => {
        if (isCurrent()) this.giveBack(request);
      },
    };
  }

  private deliver(request: LiveRequest, frame: backends.EngineFrame): void {
    const { recorder, nowMs } = this.parts;
    const { caller } = request;
    const isNext = frame.offset === caller.deliveredTokens;
    if (isNext) frame.tokens.forEach(() => recorder.onToken(caller, nowMs()));
    this.scheduler.onProgress(request.plan.requestId, caller.deliveredTokens, nowMs());
    if (frame.finishReason === null) return;
    if (frame.finishReason === backendTypes.FinishReason.Cancelled) return;
    this.requests.delete(request.plan.requestId);
    this.scheduler.onEnded(request.plan.requestId, nowMs(), true);
    recorder.onCompleted(caller);
    this.parts.listener.onRoom(this);
  }

  private giveBack(request: LiveRequest): void {
    this.requests.delete(request.plan.requestId);
    this.scheduler.onEnded(request.plan.requestId, this.parts.nowMs(), false);
    this.parts.listener.onReturned(request);
  }
}

function engineRequestOf(
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

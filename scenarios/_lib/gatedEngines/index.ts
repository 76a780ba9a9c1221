import * as neverthrow from "neverthrow";

import * as stepError from "../../../src/_lib/stepError/index.js";
import type * as backends from "../../../src/backends/types.js";
import type * as catalogue from "../../../src/catalogue/types.js";
import type * as gatedPlatform from "../gatedPlatform/index.js";
import type * as linkTables from "../linkTable/index.js";

type Outcome<T> = Promise<neverthrow.Result<T, stepError.StepError>>;

/**
 * Engine clients for one VM. Requests wait while the VM is paused, and fail while it is dead or
 * partitioned from the engine.
 */
export class GatedEngineClients implements backends.EngineClients {
  private readonly clients = new Map<string, GatedEngineClient>();

  constructor(
    private readonly inner: backends.EngineClients,
    private readonly link: gatedPlatform.VmLinks,
  ) {}

  clientFor(engine: catalogue.EngineBackend): backends.EngineClient {
    const inner = this.inner.clientFor(engine);
    const known = this.clients.get(engine.name);
    if (known?.inner === inner) return known;
    const client = new GatedEngineClient(inner, engine, this.link);
    this.clients.set(engine.name, client);
    return client;
  }
}

class GatedEngineClient implements backends.EngineClient {
  readonly name: string;

  constructor(
    readonly inner: backends.EngineClient,
    private readonly party: linkTables.Party,
    private readonly link: gatedPlatform.VmLinks,
  ) {
    this.name = inner.name;
  }

  start(request: backends.EngineRequest, signal: AbortSignal): AsyncIterable<backends.EngineFrame> {
    return this.forwardFrames(
      "engine.start",
      (abortSignal) => this.inner.start(request, abortSignal),
      signal,
    );
  }

  resume(
    requestId: string,
    attempt: number,
    fromOffset: number,
    signal: AbortSignal,
  ): AsyncIterable<backends.EngineFrame> {
    const open = (abortSignal: AbortSignal): AsyncIterable<backends.EngineFrame> =>
      this.inner.resume(requestId, attempt, fromOffset, abortSignal);
    return this.forwardFrames("engine.resume", open, signal);
  }

  cancel(requestId: string, attempt: number): Outcome<void> {
    return this.sendRequest("engine.cancel", () => this.inner.cancel(requestId, attempt));
  }

  loadReport(): Outcome<backends.EngineLoadReport> {
    return this.sendRequest("engine.load", () => this.inner.loadReport());
  }

  cacheEvents(afterSequence: number): Outcome<readonly backends.CacheEvent[]> {
    return this.sendRequest("engine.cache-events", () => this.inner.cacheEvents(afterSequence));
  }

  order(order: backends.EngineOrder): Outcome<void> {
    return this.sendRequest("engine.order", () => this.inner.order(order));
  }

  /** Forwards a stream. A partition breaks it; a paused VM receives frames after it has resumed. */
  private async *forwardFrames(
    step: string,
    open: (signal: AbortSignal) => AsyncIterable<backends.EngineFrame>,
    signal: AbortSignal,
  ): AsyncGenerator<backends.EngineFrame> {
    await this.link.gate.waitUntilResumed();
    if (this.isUnreachable())
      throw this.createUnreachableError(step, stepError.ExecutionState.NotRun);
    const partitionAbort = new AbortController();
    const subscription = this.link.links.onChange(() => {
      if (this.isUnreachable()) partitionAbort.abort();
    });
    try {
      for await (const frame of open(AbortSignal.any([signal, partitionAbort.signal]))) {
        await this.link.gate.waitUntilResumed();
        if (this.isUnreachable())
          throw this.createUnreachableError(step, stepError.ExecutionState.Ran);
        yield frame;
      }
    } finally {
      subscription[Symbol.dispose]();
    }
  }

  private async sendRequest<T>(step: string, work: () => Outcome<T>): Outcome<T> {
    await this.link.gate.waitUntilResumed();
    if (this.isUnreachable()) {
      return neverthrow.err(this.createUnreachableError(step, stepError.ExecutionState.NotRun));
    }
    const result = await work();
    await this.link.gate.waitUntilResumed();
    return result;
  }

  private isUnreachable(): boolean {
    const { gate, links, self } = this.link;
    return gate.isDead || links.isPartitioned(self, this.party);
  }

  private createUnreachableError(
    step: string,
    execution: stepError.ExecutionState,
  ): stepError.StepError {
    return new stepError.StepError("the scenario makes the engine unreachable for this VM", {
      code: stepError.ErrorCode.BackendFailed,
      step,
      peer: this.name,
      execution,
    });
  }
}

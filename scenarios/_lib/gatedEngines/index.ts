import * as neverthrow from "neverthrow";

import * as stepError from "../../../src/_lib/stepError/index.js";
import type * as backends from "../../../src/backends/types.js";
import type * as catalogue from "../../../src/catalogue/types.js";
import type * as gatedPlatform from "../gatedPlatform/index.js";
import type * as linkTables from "../linkTable/index.js";

type Outcome<T> = Promise<neverthrow.Result<T, stepError.StepError>>;

/** Engine clients of one VM, through which nothing passes where it is paused, dead or cut off. */
export class GatedEngineClients implements backends.EngineClients {
  private readonly clients = new Map<string, GatedEngineClient>();

  constructor(
    private readonly inner: backends.EngineClients,
    private readonly link: gatedPlatform.PlatformLink,
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
    private readonly place: linkTables.Place,
    private readonly link: gatedPlatform.PlatformLink,
  ) {
    this.name = inner.name;
  }

  start(request: backends.EngineRequest, signal: AbortSignal): AsyncIterable<backends.EngineFrame> {
    return this.pass("engine.start", (own) => this.inner.start(request, own), signal);
  }

  resume(
    requestId: string,
    attempt: number,
    fromOffset: number,
    signal: AbortSignal,
  ): AsyncIterable<backends.EngineFrame> {
    const open = (own: AbortSignal): AsyncIterable<backends.EngineFrame> =>
      this.inner.resume(requestId, attempt, fromOffset, own);
    return this.pass("engine.resume", open, signal);
  }

  cancel(requestId: string, attempt: number): Outcome<void> {
    return this.ask("engine.cancel", () => this.inner.cancel(requestId, attempt));
  }

  loadReport(): Outcome<backends.EngineLoadReport> {
    return this.ask("engine.load", () => this.inner.loadReport());
  }

  cacheEvents(afterSequence: number): Outcome<readonly backends.CacheEvent[]> {
    return this.ask("engine.cache-events", () => this.inner.cacheEvents(afterSequence));
  }

  order(order: backends.EngineOrder): Outcome<void> {
    return this.ask("engine.order", () => this.inner.order(order));
  }

  /** A cut breaks the stream when it falls; a paused VM sees its frames when it goes on. */
  private async *pass(
    step: string,
    open: (signal: AbortSignal) => AsyncIterable<backends.EngineFrame>,
    signal: AbortSignal,
  ): AsyncGenerator<backends.EngineFrame> {
    await this.link.gate.pass();
    if (this.isUnreachable()) throw this.cutError(step, stepError.ExecutionState.NotRun);
    const breaking = new AbortController();
    const watch = this.link.links.onChange(() => {
      if (this.isUnreachable()) breaking.abort();
    });
    try {
      for await (const frame of open(AbortSignal.any([signal, breaking.signal]))) {
        await this.link.gate.pass();
        if (this.isUnreachable()) throw this.cutError(step, stepError.ExecutionState.Ran);
        yield frame;
      }
    } finally {
      watch[Symbol.dispose]();
    }
  }

  private async ask<T>(step: string, work: () => Outcome<T>): Outcome<T> {
    await this.link.gate.pass();
    if (this.isUnreachable()) {
      return neverthrow.err(this.cutError(step, stepError.ExecutionState.NotRun));
    }
    const result = await work();
    await this.link.gate.pass();
    return result;
  }

  private isUnreachable(): boolean {
    const { gate, links, self } = this.link;
    return gate.isDead || links.isCut(self, this.place);
  }

  private cutError(step: string, execution: stepError.ExecutionState): stepError.StepError {
    return new stepError.StepError("the engine cannot be reached", {
      code: stepError.ErrorCode.BackendFailed,
      step,
      peer: this.name,
      execution,
    });
  }
}

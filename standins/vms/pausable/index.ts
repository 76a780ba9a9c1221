import type * as clocks from "../../../src/_lib/clock/index.js";
import type * as backends from "../../../src/backends/types.js";
import type * as catalogue from "../../../src/catalogue/types.js";

/** Simulates a process pause of a VM: its timers and its reading of engine streams wait until it resumes. */
export class PausableProcess implements clocks.Clock, backends.EngineClients {
  private pendingCallbacks: (() => void)[] | null = null;

  constructor(
    private readonly clock: clocks.Clock,
    private readonly clients: backends.EngineClients,
  ) {}

  /** Starts a pause. */
  pause(): void {
    this.pendingCallbacks ??= [];
  }

  /** Ends the pause and runs the pending callbacks. */
  resume(): void {
    const callbacks = this.pendingCallbacks ?? [];
    this.pendingCallbacks = null;
    for (const callback of callbacks) callback();
  }

  nowMs(): number {
    return this.clock.nowMs();
  }

  wallTimeMs(): number {
    return this.clock.wallTimeMs();
  }

  async sleep(durationMs: number, signal?: AbortSignal): Promise<void> {
    await this.clock.sleep(durationMs, signal);
    await this.waitUntilRunning();
  }

  schedule(delayMs: number, callback: () => void): Disposable {
    let isCancelled = false;
    const timer = this.clock.schedule(delayMs, () => {
      this.runWhenRunning(() => {
        if (!isCancelled) callback();
      });
    });
    return {
      [Symbol.dispose]() {
        isCancelled = true;
        timer[Symbol.dispose]();
      },
    };
  }

  clientFor(engine: catalogue.EngineBackend): backends.EngineClient {
    const client = this.clients.clientFor(engine);
    return {
      name: client.name,
      start: (request, signal) => this.pauseFrames(client.start(request, signal)),
      resume: (requestId, attempt, fromOffset, signal) =>
        this.pauseFrames(client.resume(requestId, attempt, fromOffset, signal)),
      cancel: (requestId, attempt) => client.cancel(requestId, attempt),
      loadReport: () => client.loadReport(),
      cacheEvents: (afterSequence) => client.cacheEvents(afterSequence),
      order: (order) => client.order(order),
    };
  }

  private async *pauseFrames(
    stream: AsyncIterable<backends.EngineFrame>,
  ): AsyncGenerator<backends.EngineFrame> {
    for await (const frame of stream) {
      await this.waitUntilRunning();
      yield frame;
    }
  }

  private async waitUntilRunning(): Promise<void> {
    if (this.pendingCallbacks === null) return;
    await new Promise<void>((resolve) => this.runWhenRunning(resolve));
  }

  private runWhenRunning(callback: () => void): void {
    if (this.pendingCallbacks === null) callback();
    else this.pendingCallbacks.push(callback);
  }
}

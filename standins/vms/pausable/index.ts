import type * as clocks from "../../../src/_lib/clock/index.js";
import type * as backends from "../../../src/backends/types.js";
import type * as catalogue from "../../../src/catalogue/types.js";

/** Stops a VM's process: its timers and its reading of streams wait until it goes on. */
export class PausableProcess implements clocks.Clock, backends.EngineClients {
  private held: (() => void)[] | null = null;

  constructor(
    private readonly clock: clocks.Clock,
    private readonly clients: backends.EngineClients,
  ) {}

  pause(): void {
    this.held ??= [];
  }

  resume(): void {
    const held = this.held ?? [];
    this.held = null;
    for (const callback of held) callback();
  }

  nowMs(): number {
    return this.clock.nowMs();
  }

  wallTimeMs(): number {
    return this.clock.wallTimeMs();
  }

  async sleep(durationMs: number, signal?: AbortSignal): Promise<void> {
    await this.clock.sleep(durationMs, signal);
    await this.whileHeld();
  }

  schedule(delayMs: number, callback: () => void): Disposable {
    let isCancelled = false;
    const timer = this.clock.schedule(delayMs, () => {
      this.whenRunning(() => {
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
      start: (request, signal) => this.gate(client.start(request, signal)),
      resume: (requestId, attempt, fromOffset, signal) =>
        this.gate(client.resume(requestId, attempt, fromOffset, signal)),
      cancel: (requestId, attempt) => client.cancel(requestId, attempt),
      loadReport: () => client.loadReport(),
      cacheEvents: (afterSequence) => client.cacheEvents(afterSequence),
      order: (order) => client.order(order),
    };
  }

  private async *gate(
    stream: AsyncIterable<backends.EngineFrame>,
  ): AsyncGenerator<backends.EngineFrame> {
    for await (const frame of stream) {
      await this.whileHeld();
      yield frame;
    }
  }

  private async whileHeld(): Promise<void> {
    if (this.held === null) return;
    await new Promise<void>((resolve) => this.whenRunning(resolve));
  }

  private whenRunning(callback: () => void): void {
    if (this.held === null) callback();
    else this.held.push(callback);
  }
}

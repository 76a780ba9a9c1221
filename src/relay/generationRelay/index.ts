import type * as servers from "../../servers/index.js";
import type * as callSink from "../_lib/callSink/index.js";
import * as generationRuns from "../_lib/generationRun/index.js";
import type * as relayContext from "../relayContext.js";
import type * as types from "../types.js";

/** Relays generations, and hands them over to other engines when their engine leaves. */
export class GenerationRelay implements Disposable {
  private readonly runs = new Set<generationRuns.GenerationRun>();
  private readonly subscription: Disposable;

  constructor(private readonly context: relayContext.RelayContext) {
    this.subscription = context.directory.onLeaving((server) => this.onLeaving(server));
  }

  /** Number of generations in progress. */
  get runningCount(): number {
    return this.runs.size;
  }

  /** Serves a generation and answers its caller; resolves when the answer has ended. */
  async relay(call: types.Call, sink: callSink.CallSink): Promise<void> {
    const run = new generationRuns.GenerationRun(this.context, call, sink);
    this.runs.add(run);
    try {
      await run.run();
    } finally {
      this.runs.delete(run);
    }
  }

  [Symbol.dispose](): void {
    this.subscription[Symbol.dispose]();
  }

  private onLeaving(server: servers.KnownServer): void {
    for (const run of this.runs) {
      if (run.serverId === server.entry.id) run.handOverIfLeaving();
    }
  }
}

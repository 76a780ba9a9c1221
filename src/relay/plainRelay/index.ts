import * as attemptScopes from "../_lib/attemptScope/index.js";
import type * as callSink from "../_lib/callSink/index.js";
import * as plainCalls from "../_lib/plainCall/index.js";
import type * as relayContext from "../relayContext.js";
import type * as types from "../types.js";

/**
 * Relays calls to plain servers. A call that a server did not execute may be sent to another one;
 * only idempotent calls are also retried after failures, or hedged.
 */
export class PlainRelay {
  private readonly pendingCounts = new Map<string, number>();

  constructor(private readonly context: relayContext.RelayContext) {}

  /** Serves a call and answers its caller; resolves when the answer was given. */
  async relay(call: types.Call, sink: callSink.CallSink): Promise<void> {
    using scope = new attemptScopes.AttemptScope(
      this.context.clock,
      call.deadlineAtMs,
      call.callerDisconnected,
    );
    await new plainCalls.PlainCall(this.context, this.pendingCounts, call, sink, scope).run();
  }
}

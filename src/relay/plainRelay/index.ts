import * as answerRefusals from "../_lib/answerRefusal/index.js";
import * as attemptScopes from "../_lib/attemptScope/index.js";
import type * as callSink from "../_lib/callSink/index.js";
import * as refusals from "../_lib/createRefusal/index.js";
import * as plainCalls from "../_lib/plainCall/index.js";
import type * as callGates from "../callGate/index.js";
import type * as relayContext from "../relayContext.js";
import * as types from "../types.js";

const UNAVAILABLE_STATUS = 503;
const SERVER_ERROR_STATUS = 500;

/**
 * Relays calls to plain servers. A call that a server did not execute may be sent to another one;
 * only idempotent calls are also retried after failures, or hedged.
 */
export class PlainRelay {
  private readonly pendingCounts = new Map<string, number>();

  /** @param gate - turns away calls of accounts beyond their shares; null lets all calls pass */
  constructor(
    private readonly context: relayContext.RelayContext,
    private readonly gate: callGates.CallGate | null = null,
  ) {}

  /** Serves a call and answers its caller; resolves when the answer was given. */
  async relay(call: types.Call, sink: callSink.CallSink): Promise<void> {
    const refusal = this.gate?.admit(call.serviceName, call.account?.name ?? null) ?? null;
    if (refusal !== null) {
      this.refuse(call, sink, refusal);
      return;
    }
    using scope = new attemptScopes.AttemptScope(this.context.clock, call.deadlineAtMs, call);
    await new plainCalls.PlainCall(this.context, this.pendingCounts, call, sink, scope).run();
    this.recordEnd(call, sink);
  }

  private recordEnd({ serviceName }: types.Call, { sentStatus }: callSink.CallSink): void {
    if (sentStatus === UNAVAILABLE_STATUS) this.gate?.recordRefused(serviceName);
    else if (sentStatus !== null && sentStatus < SERVER_ERROR_STATUS)
      this.gate?.recordServed(serviceName);
  }

  private refuse(
    call: types.Call,
    sink: callSink.CallSink,
    refusal: callGates.CallGateRefusal,
  ): void {
    const reason = types.RefusalReason.BeyondShare;
    const answer = refusals.createRefusal(reason, types.Execution.NotRun, refusal.retryAfterMs);
    answerRefusals.answerRefusal(this.context, call, sink, answer, {
      account: call.account?.name,
      sharePerSecond: roundRate(refusal.sharePerSecond),
      demandPerSecond: roundRate(refusal.demandPerSecond),
      ownSharePerSecond: roundRate(refusal.ownSharePerSecond),
      servedPerSecond: roundRate(refusal.servedPerSecond),
    });
  }
}

function roundRate(perSecond: number): number {
  return Math.round(perSecond * 10) / 10;
}

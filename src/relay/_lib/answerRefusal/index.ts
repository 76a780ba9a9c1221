import * as diagnostics from "../../../diagnostics/index.js";
import type * as relayContext from "../../relayContext.js";
import type * as types from "../../types.js";
import type * as callSink from "../callSink/index.js";

/** Answers a call with a refusal, counts it, and logs it with the values that led to it. */
export function answerRefusal(
  context: relayContext.RelayContext,
  call: types.Call,
  sink: callSink.CallSink,
  refusal: types.Refusal,
  details: diagnostics.LogFields,
): void {
  context.meters.refusals.inc({ reason: refusal.reason });
  context.log.record(diagnostics.Importance.Notable, diagnostics.LogEvent.RequestRefused, {
    requestId: call.head.id,
    route: call.route.name,
    reason: refusal.reason,
    status: refusal.status,
    retryAfterMs: refusal.retryAfterMs,
    elapsedMs: Math.round(context.clock.nowMs() - call.arrivedAtMs),
    ...details,
  });
  sink.refuse(refusal);
}

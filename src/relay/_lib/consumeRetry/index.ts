import * as diagnostics from "../../../diagnostics/index.js";
import type * as relayContext from "../../relayContext.js";
import type * as types from "../../types.js";

const { Importance, LogEvent } = diagnostics;

/**
 * Takes a retry of a call from the budget of its service; returns whether there was one.
 *
 * @param isSpare - whether it has to leave the part that is reserved for retries at once
 */
export function consumeRetry(
  { budget, meters, log }: relayContext.RelayContext,
  { head, serviceName }: types.Call,
  isSpare = false,
): boolean {
  const isAllowed = budget.tryConsume(serviceName, isSpare);
  meters.repeats.inc({ service: serviceName, decision: isAllowed ? "allowed" : "denied" });
  if (!isAllowed) {
    log.record(Importance.Notable, LogEvent.RepeatDenied, {
      requestId: head.id,
      service: serviceName,
      remainingCount: Math.round(budget.countRemainingRetries(serviceName)),
    });
  }
  return isAllowed;
}

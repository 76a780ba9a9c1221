import * as constants from "../constants.js";
import type * as types from "../types.js";

/**
 * Estimates the time until an engine sends a generation's first event, in milliseconds. An engine
 * that is cold adds its remaining cold time, at most as long as the prefill takes.
 */
export function estimateFirstEvent(
  need: Pick<types.GenerationNeed, "unreadTokens">,
  engine: Pick<types.EngineCandidate, "backlogTokens" | "slownessRatio" | "coldRemainingMs">,
): number {
  const prefillMs = (engine.backlogTokens + need.unreadTokens) / constants.PREFILL_TOKENS_PER_MS;
  const coldDelayMs = Math.min(engine.coldRemainingMs, prefillMs);
  return constants.FIRST_EVENT_OVERHEAD_MS + prefillMs * engine.slownessRatio + coldDelayMs;
}

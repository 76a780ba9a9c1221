import * as constants from "../constants.js";
import type * as types from "../types.js";

/** Expected time until an engine gives a generation's first event, in milliseconds. */
export function estimateFirstEvent(
  need: Pick<types.GenerationNeed, "unreadTokens">,
  engine: Pick<types.EngineCandidate, "backlogTokens" | "slownessRatio" | "coldRemainingMs">,
): number {
  const readingMs = (engine.backlogTokens + need.unreadTokens) / constants.READ_TOKENS_PER_MS;
  const warmingMs = Math.min(engine.coldRemainingMs, readingMs);
  return constants.FIRST_EVENT_OVERHEAD_MS + readingMs * engine.slownessRatio + warmingMs;
}

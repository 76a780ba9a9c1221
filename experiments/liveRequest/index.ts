import type * as engines from "../../src/engines/index.js";
import type * as recorders from "../recorder/index.js";
import type * as types from "../types.js";

/** A request on its way through the run. */
export interface LiveRequest {
  readonly plan: types.PlannedRequest;
  readonly caller: recorders.CallerView;
  readonly baseNeed: engines.GenerationNeed;
  readonly prompt: string;
  attempt: number;
  suspensionsCount: number;
}

/** What the request needs now, with what was already delivered. */
export function needOf(request: LiveRequest): engines.GenerationNeed {
  const { baseNeed, caller, suspensionsCount } = request;
  return { ...baseNeed, producedTokens: caller.deliveredTokens, suspensionsCount };
}

/** Distances of a run in milliseconds. */
export const HOP_MS = 1;
export const CROSS_DATA_CENTRE_HOP_MS = 2;

/** Version of every model of a run. */
export const VERSION = "1";

/** Words of every prompt that requests of an entry share. */
const SHARED_PROMPT_RATIO = 0.3;

/** Prepares a request whose caller has just sent it. */
export function createLiveRequest(
  plan: types.PlannedRequest,
  caller: recorders.CallerView,
): LiveRequest {
  const { entry, requestId, promptTokens } = plan;
  const sharedCount = Math.round(promptTokens * SHARED_PROMPT_RATIO);
  const words = Array.from({ length: promptTokens }, (_, index) =>
    index < sharedCount ? `${entry.name}.${index}` : `${requestId}.${index}`,
  );
  const baseNeed: engines.GenerationNeed = {
    requestId,
    entryName: entry.name,
    accountName: plan.accountName,
    class: entry.class,
    model: entry.model,
    version: VERSION,
    adapter: null,
    promptTokens,
    prefixHashes: [],
    producedTokens: 0,
    maxTokens: plan.maxTokens,
    acceptedAtMs: plan.atMs,
    deadlineAtMs: plan.atMs + entry.deadlineMs,
  };
  return { plan, caller, baseNeed, prompt: words.join(" "), attempt: 0, suspensionsCount: 0 };
}

import type * as engines from "../../src/engines/index.js";
import type * as recorders from "../recorder/index.js";
import type * as types from "../types.js";

/** The state of a request during a run. */
export interface LiveRequest {
  readonly plan: types.PlannedRequest;
  readonly caller: recorders.CallerView;
  readonly baseNeed: engines.GenerationNeed;
  readonly prompt: string;
  attempt: number;
  suspensionsCount: number;
}

/** Returns the request's need with its current count of delivered tokens and suspensions. */
export function createCurrentNeed(request: LiveRequest): engines.GenerationNeed {
  const { baseNeed, caller, suspensionsCount } = request;
  return { ...baseNeed, producedTokens: caller.deliveredTokens, suspensionsCount };
}

/** One-way network delay between VMs of one data centre. */
export const SAME_DATA_CENTRE_HOP_MS = 1;
/** One-way network delay between VMs of different data centres. */
export const CROSS_DATA_CENTRE_HOP_MS = 2;

/** Version of every model in a run. */
export const MODEL_VERSION = "1";

/** Share of a prompt's words that is common to all requests of an entry. */
const SHARED_PROMPT_RATIO = 0.3;

/** Creates the state of a request that has just arrived. */
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
    version: MODEL_VERSION,
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

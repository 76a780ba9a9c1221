import * as crypto from "node:crypto";

import type * as backends from "../../../backends/types.js";
import * as engines from "../../../engines/index.js";
import type * as types from "../../types.js";

/** Limits seeds to 31 bits, which every engine accepts. */
const SEED_MASK = 0x7fffffff;

/** Creates the request to an engine; all attempts of a generation use the same sampling seed. */
export function createEngineRequest(
  request: types.GenerationRequest,
  attempt: number,
  prefixTokens: readonly string[],
): backends.EngineRequest {
  return {
    requestId: request.requestId,
    attempt,
    model: request.entry.model,
    version: request.entry.version,
    adapter: request.entry.adapter ?? null,
    prompt: request.prompt,
    prefixTokens: [...prefixTokens],
    maxTokens: request.maxTokens,
    priority: engines.priorityOf(request.entry.class),
    seed: deriveSamplingSeed(request.requestId),
  };
}

/** Describes what a request requires of an engine; times are on this VM's monotonic clock. */
export function createNeed(
  request: types.GenerationRequest,
  producedTokens: number,
  history: Pick<engines.GenerationNeed, "acceptedAtMs" | "deadlineAtMs" | "suspensionsCount">,
): engines.GenerationNeed {
  return {
    requestId: request.requestId,
    entryName: request.entry.name,
    accountName: request.accountName,
    class: request.entry.class,
    model: request.entry.model,
    version: request.entry.version,
    adapter: request.entry.adapter ?? null,
    promptTokens: request.promptTokens,
    prefixHashes: [],
    producedTokens,
    maxTokens: request.maxTokens,
    ...history,
  };
}

function deriveSamplingSeed(requestId: string): number {
  return crypto.createHash("sha1").update(requestId).digest().readUInt32BE(0) & SEED_MASK;
}

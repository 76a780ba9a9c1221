import * as zod from "zod";

import * as types from "../types.js";

/** Schema of an engine's load report. It carries its age, because host clocks differ. */
export const loadReport = zod.object({
  ageMs: zod.number().min(0),
  runningCount: zod.int().min(0),
  waitingCount: zod.int().min(0),
  usedTokens: zod.number().min(0),
  capacityTokens: zod.number().min(0),
  stepTimeMs: zod.number().min(0),
  preemptionsCount: zod.int().min(0),
  loadedModels: zod.array(
    zod.object({ model: zod.string(), version: zod.string(), adapters: zod.array(zod.string()) }),
  ),
  running: zod.array(
    zod.object({
      requestId: zod.string(),
      attempt: zod.int(),
      contextTokens: zod.number(),
      isPreempted: zod.boolean(),
    }),
  ),
  leavingInMs: zod.number().min(0).nullable(),
});

/** Schema of an engine's cache events. */
export const cacheEvents = zod.object({
  events: zod.array(
    zod.object({
      sequence: zod.int(),
      kind: zod.enum(["stored", "evicted", "cleared"]),
      prefixHash: zod.string(),
      tokens: zod.number(),
    }),
  ),
});

/** Schema of an OpenAI-compatible completion request with the engine's additional fields. */
export const completion = zod.object({
  request_id: zod.string().min(1),
  attempt: zod.int().min(0),
  model: zod.string(),
  version: zod.string(),
  adapter: zod.string().nullable(),
  prompt: zod.string(),
  prefix_tokens: zod.array(zod.string()),
  max_tokens: zod.int().min(1),
  priority: zod.number(),
  seed: zod.int(),
  stream: zod.literal(true),
});

/** Schema of an order to an engine. */
export const order = zod.object({
  kind: zod.enum(types.OrderKind),
  model: zod.string().optional(),
  version: zod.string().optional(),
  adapter: zod.string().optional(),
  role: zod.string().optional(),
  fencingNumber: zod.int(),
});

/** Encodes a generation request as a completion request. */
export function encodeCompletion(request: types.EngineRequest): zod.infer<typeof completion> {
  return {
    request_id: request.requestId,
    attempt: request.attempt,
    model: request.model,
    version: request.version,
    adapter: request.adapter,
    prompt: request.prompt,
    prefix_tokens: [...request.prefixTokens],
    max_tokens: request.maxTokens,
    priority: request.priority,
    seed: request.seed,
    stream: true,
  };
}

/** Decodes the generation request from a completion request. */
export function decodeCompletion(body: zod.infer<typeof completion>): types.EngineRequest {
  return {
    requestId: body.request_id,
    attempt: body.attempt,
    model: body.model,
    version: body.version,
    adapter: body.adapter,
    prompt: body.prompt,
    prefixTokens: body.prefix_tokens,
    maxTokens: body.max_tokens,
    priority: body.priority,
    seed: body.seed,
  };
}

import type * as backends from "../../../src/backends/types.js";
import type * as types from "../types.js";

/** Words at the end of a prompt that tell the stand-in how long its answer is, e.g. `#tokens=200`. */
const LENGTH_MARK = /#tokens=(\d+)/;

const DEFAULT_LENGTH_TOKENS = 64;

/** Options of a small, fast engine that suits scenarios and the local start. */
export function defaultEngineOptions(
  name: string,
  loadedModels: readonly backends.LoadedModel[],
): types.EngineModelOptions {
  return {
    name,
    capacityTokens: 20_000,
    maxRunningCount: 32,
    stepBaseMs: 2,
    stepPerSequenceMs: 0.1,
    stepPerContextTokenMs: 0,
    stepPerPrefillTokenMs: 0.01,
    maxPrefillTokensPerStep: 2_048,
    cacheBlockTokens: 16,
    loadReportLagMs: 100,
    cacheEventLagMs: 100,
    cacheEventLossRatio: 0.1,
    checksFencing: true,
    modelLoadMs: 200,
    loadedModels,
    lengthOf: lengthFromPrompt,
    promptTokensOf: countWords,
  };
}

/** The length that a prompt asks for by its mark; tests and scenarios set it, callers never do. */
export function lengthFromPrompt(request: backends.EngineRequest): number {
  const [, length] = LENGTH_MARK.exec(request.prompt) ?? [];
  return length === undefined ? DEFAULT_LENGTH_TOKENS : Number(length);
}

/** One token a word. */
export function countWords(request: backends.EngineRequest): number {
  return Math.max(1, request.prompt.split(/\s+/).filter((word) => word !== "").length);
}

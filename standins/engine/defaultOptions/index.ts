import type * as backends from "../../../src/backends/types.js";
import type * as types from "../types.js";

/** Directive in a prompt that sets the length of the stand-in's output, e.g. `#tokens=200`. */
const LENGTH_DIRECTIVE = /#tokens=(\d+)/;

const DEFAULT_LENGTH_TOKENS = 64;

/** Creates the options of a small, fast engine for scenarios and local use. */
export function createDefaultEngineOptions(
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
    lengthOf: readLengthFromPrompt,
    promptTokensOf: countWords,
  };
}

/** Reads the output length in tokens from the directive in a test's or scenario's prompt, by default 64. */
export function readLengthFromPrompt(request: backends.EngineRequest): number {
  const [, length] = LENGTH_DIRECTIVE.exec(request.prompt) ?? [];
  return length === undefined ? DEFAULT_LENGTH_TOKENS : Number(length);
}

/** Counts the prompt's tokens as one per word, and at least one. */
export function countWords(request: backends.EngineRequest): number {
  return Math.max(1, request.prompt.split(/\s+/).filter((word) => word !== "").length);
}

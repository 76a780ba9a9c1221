import type * as types from "../types.js";

/** Work of one step of the batch. */
export interface StepLoad {
  readonly decodingCount: number;
  readonly contextTokens: number;
  readonly prefillTokens: number;
}

/**
 * Computes the duration of one step of an engine with continuous batching.
 *
 * @returns milliseconds, linear in the decoding sequences, the context tokens and the prefilled tokens
 */
export function computeStepDurationMs(options: types.EngineModelOptions, load: StepLoad): number {
  return (
    options.stepBaseMs +
    load.decodingCount * options.stepPerSequenceMs +
    load.contextTokens * options.stepPerContextTokenMs +
    load.prefillTokens * options.stepPerPrefillTokenMs
  );
}

import type * as types from "../types.js";

/** What one step of the batch works on. */
export interface StepLoad {
  readonly decodingCount: number;
  readonly contextTokens: number;
  readonly prefillTokens: number;
}

/**
 * Duration of one step of a continuously batching engine.
 *
 * @returns milliseconds, linear in the sequences, their context and the prefilled tokens
 */
export function stepDurationMs(options: types.EngineModelOptions, load: StepLoad): number {
  return (
    options.stepBaseMs +
    load.decodingCount * options.stepPerSequenceMs +
    load.contextTokens * options.stepPerContextTokenMs +
    load.prefillTokens * options.stepPerPrefillTokenMs
  );
}

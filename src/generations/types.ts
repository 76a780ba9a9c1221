import type * as neverthrow from "neverthrow";

import type * as stepError from "../_lib/stepError/index.js";
import type * as backends from "../backends/types.js";
import type * as catalogue from "../catalogue/types.js";

/** An accepted caller's request for a generation. */
export interface GenerationRequest {
  readonly requestId: string;
  readonly entry: catalogue.GenerationEntry;
  readonly accountName: string;
  readonly prompt: string;
  readonly promptTokens: number;
  readonly maxTokens: number;
  readonly isStreamed: boolean;
  readonly deadlineAtWallMs: number;
}

/** Tokens of one attempt, as they pass between VMs and to the caller. */
export interface TokenFrame {
  readonly requestId: string;
  readonly attempt: number;
  readonly offset: number;
  readonly tokens: readonly string[];
  readonly finishReason: backends.FinishReason | null;
}

/** A caller's hold on its generation. */
export interface GenerationHandle {
  readonly requestId: string;
  /**
   * Tokens from an offset on, each once and in order; throws a StepError where the generation
   * was interrupted for good. Ending the iteration early detaches the caller, and so does the
   * signal, at once and also while no token comes.
   */
  frames(fromOffset: number, signal?: AbortSignal): AsyncIterable<TokenFrame>;
}

/** Generations as the HTTP port uses them. */
export interface GenerationService {
  /** Accepts a request, or refuses it without having run anything. */
  submit(
    request: GenerationRequest,
  ): Promise<neverthrow.Result<GenerationHandle, stepError.StepError>>;
  /** Re-attaches a caller to a generation that any VM holds. */
  attach(
    requestId: string,
    accountName: string,
  ): Promise<neverthrow.Result<GenerationHandle, stepError.StepError>>;
}

import type * as neverthrow from "neverthrow";

import type * as stepError from "../_lib/stepError/index.js";
import type * as backends from "../backends/types.js";
import type * as catalogue from "../catalogue/types.js";
import type * as engines from "../engines/types.js";

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

/** What would be lost if a VM stopped now. */
export interface HeldSummary {
  /** Generations that this VM answers for, by what they do. */
  readonly runningCount: number;
  readonly waitingCount: number;
  readonly keptFinishedCount: number;
  /** Runs on engines whose home this VM is. */
  readonly engineRunsCount: number;
  /** Second copies for other VMs. */
  readonly copiesCount: number;
  /** Ids of requests that are not finished. */
  readonly unfinishedRequestIds: readonly string[];
}

/** One engine as its home holds it. */
export interface HeldEngine {
  readonly view: engines.EngineView;
  /** Why the engine takes no work; null where it does. */
  readonly refusalReason: string | null;
  readonly runs: readonly HeldRun[];
}

/** One run of an engine. */
export interface HeldRun {
  readonly requestId: string;
  readonly entryName: string;
  readonly attempt: number;
  readonly ownerVm: string;
  readonly producedTokens: number;
  readonly isPreempted: boolean;
  /** Time since its last token. */
  readonly silentMs: number;
}

/** A generation that waits at this VM. */
export interface WaitingGeneration {
  readonly requestId: string;
  readonly entryName: string;
  readonly accountName: string;
  readonly waitedMs: number;
  readonly producedTokens: number;
  readonly reason: string;
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

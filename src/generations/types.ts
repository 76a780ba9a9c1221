import type * as neverthrow from "neverthrow";

import type * as stepError from "../_lib/stepError/index.js";
import type * as backends from "../backends/types.js";
import type * as catalogue from "../catalogue/types.js";
import type * as engines from "../engines/types.js";

/** A caller's request for a generation. */
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

/** Consecutive tokens of one attempt, as sent between VMs and to the caller. */
export interface TokenFrame {
  readonly requestId: string;
  readonly attempt: number;
  readonly offset: number;
  readonly tokens: readonly string[];
  readonly finishReason: backends.FinishReason | null;
}

/** A caller's access to its generation. */
export interface GenerationHandle {
  readonly requestId: string;
  /**
   * Yields the tokens from an offset, each once and in order. Throws a StepError if the generation
   * failed or its sampling was lost. Ending the iteration early or aborting the signal detaches
   * the caller at once, also while it waits for a token.
   */
  readFrames(fromOffset: number, signal?: AbortSignal): AsyncIterable<TokenFrame>;
}

/** Counts of the generations, runs and replicas that a VM holds now. */
export interface HeldSummary {
  /** Unfinished generations that this VM owns and that do not wait. */
  readonly runningCount: number;
  /** Unfinished generations that this VM owns and that wait for capacity. */
  readonly waitingCount: number;
  /** Finished or failed generations that this VM owns and still retains. */
  readonly retainedFinishedCount: number;
  /** Runs on engines whose home this VM is. */
  readonly engineRunsCount: number;
  /** Replicas held for other VMs as their standby. */
  readonly replicasCount: number;
  /** Ids of requests that are not finished. */
  readonly unfinishedRequestIds: readonly string[];
}

/** State of an engine and its runs, as its home sees them. */
export interface EngineStatus {
  readonly view: engines.EngineView;
  /** Why the engine accepts no work; null if it does. */
  readonly refusalReason: string | null;
  readonly runs: readonly RunStatus[];
}

/** State of a run on an engine. */
export interface RunStatus {
  readonly requestId: string;
  readonly entryName: string;
  readonly attempt: number;
  readonly ownerVm: string;
  readonly producedTokens: number;
  readonly isPreempted: boolean;
  /** Time since the last token was received. */
  readonly silentMs: number;
}

/** A generation that waits for capacity at this VM. */
export interface WaitingGeneration {
  readonly requestId: string;
  readonly entryName: string;
  readonly accountName: string;
  readonly waitedMs: number;
  readonly producedTokens: number;
  /** Why it waits, for people. */
  readonly reason: string;
}

/** The generation service as the HTTP port uses it. */
export interface GenerationService {
  /** Accepts a request, or refuses it without having started it on an engine. */
  submit(
    request: GenerationRequest,
  ): Promise<neverthrow.Result<GenerationHandle, stepError.StepError>>;
  /** Re-attaches a caller to a generation that any VM holds. */
  attach(
    requestId: string,
    accountName: string,
  ): Promise<neverthrow.Result<GenerationHandle, stepError.StepError>>;
}

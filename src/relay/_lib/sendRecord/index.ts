import * as types from "../../types.js";
import * as refusals from "../createRefusal/index.js";
import * as engineStreams from "../engineStream/index.js";

/** A failed attempt in which the server may have executed the generation. */
export type RunFailure = Extract<
  engineStreams.OpenOutcome,
  { readonly kind: engineStreams.OpenKind.Answered | engineStreams.OpenKind.Unknown }
>;

/**
 * What the sends of one generation have come to. Each ending of the call takes its refusal from here, so that none
 * says "not run" of a call that may have run at any of the servers that it was sent to.
 */
export class SendRecord {
  private failure: RunFailure | null = null;

  /** @param ranIds - servers that may have run the generation; those of further sends are added */
  constructor(readonly ranIds: Set<string>) {}

  /** The last failure of a server that may have run the generation; null if there is none. */
  get lastFailure(): RunFailure | null {
    return this.failure;
  }

  /** Whether a server may have run the generation. */
  get execution(): types.Execution {
    return this.ranIds.size > 0 ? types.Execution.MayHaveRun : types.Execution.NotRun;
  }

  /** Records the outcome of a send. */
  record(serverId: string, outcome: engineStreams.OpenOutcome): void {
    if (!engineStreams.hasMaybeRun(outcome)) return;
    this.ranIds.add(serverId);
    if (outcome.kind !== engineStreams.OpenKind.Open) this.failure = outcome as RunFailure;
  }

  /** Creates the refusal for a reason, or for what is true of the call instead if it may have run. */
  createRefusal(reason: types.RefusalReason, retryAfterMs: number | null = null): types.Refusal {
    return refusals.createRefusal(reason, this.execution, retryAfterMs);
  }
}

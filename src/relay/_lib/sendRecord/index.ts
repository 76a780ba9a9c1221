import * as types from "../../types.js";
import * as refusals from "../createRefusal/index.js";
import * as engineStreams from "../engineStream/index.js";

/** A failed attempt in which the server may have executed the generation. */
export type RunFailure = Extract<
  engineStreams.OpenOutcome,
  { readonly kind: engineStreams.OpenKind.Answered | engineStreams.OpenKind.Unknown }
>;

/** The status that promises that a call has not run and never will. */
const NOT_RUN_STATUS = 503;

/** What a call is told that may have run, instead of a refusal that promises that it has not. */
const REASON_AFTER_RUN: Readonly<Partial<Record<types.RefusalReason, types.RefusalReason>>> = {
  [types.RefusalReason.TimedOutNotRun]: types.RefusalReason.TimedOut,
};

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
  get mayHaveRun(): boolean {
    return this.ranIds.size > 0;
  }

  /** Records the outcome of a send. */
  record(serverId: string, outcome: engineStreams.OpenOutcome): void {
    if (!engineStreams.hasMaybeRun(outcome)) return;
    this.ranIds.add(serverId);
    if (outcome.kind !== engineStreams.OpenKind.Open) this.failure = outcome as RunFailure;
  }

  /** Creates the refusal for a reason, or for what is true of the call instead if it may have run. */
  createRefusal(reason: types.RefusalReason, retryAfterMs: number | null = null): types.Refusal {
    const refusal = refusals.createRefusal(reason, retryAfterMs);
    if (!this.mayHaveRun || refusal.status !== NOT_RUN_STATUS) return refusal;
    return refusals.createRefusal(REASON_AFTER_RUN[reason] ?? types.RefusalReason.OutcomeUnknown);
  }
}

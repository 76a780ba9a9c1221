import * as diagnostics from "../../../diagnostics/index.js";
import type * as relayContext from "../../relayContext.js";
import type * as engineStreams from "../engineStream/index.js";
import * as handovers from "../handover/index.js";

type Handover = (stream: engineStreams.EngineStream) => Promise<engineStreams.EngineStream | null>;

/** A run that can be handed over from the engine whose stream is given; null if it stays there. */
export interface HandedOverRun {
  readonly requestId: string;
  readonly handOverFromLeaving: Handover;
  readonly handOverFromSilent: Handover;
}

const HANDOVER_BY_CAUSE = {
  [handovers.HandoverCause.Leaving]: "handOverFromLeaving",
  [handovers.HandoverCause.Silent]: "handOverFromSilent",
} as const satisfies Record<handovers.HandoverCause, keyof HandedOverRun>;

/** Begins to hand a run over. An unexpected error ends the handover alone, and its run stays. */
export async function beginHandover(
  context: Pick<relayContext.RelayContext, "log" | "meters">,
  run: HandedOverRun,
  cause: handovers.HandoverCause,
  stream: engineStreams.EngineStream,
): Promise<engineStreams.EngineStream | null> {
  try {
    return await run[HANDOVER_BY_CAUSE[cause]](stream);
  } catch (error) {
    const { requestId } = run;
    const { Handover } = diagnostics.ErrorOrigin;
    diagnostics.recordInternalError(context, Handover, error, { requestId });
    return null;
  }
}

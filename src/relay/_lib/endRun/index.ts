import * as diagnostics from "../../../diagnostics/index.js";
import type * as servers from "../../../servers/index.js";
import * as constants from "../../constants.js";
import type * as relayContext from "../../relayContext.js";
import * as types from "../../types.js";

const { Importance, LogEvent } = diagnostics;

/** What ending a run needs. */
export type EndContext = Pick<
  relayContext.RelayContext,
  "clock" | "control" | "directory" | "log" | "meters"
>;

/** A run that goes on at another engine than the one at which it is to end. */
export interface EndedRun {
  readonly requestId: string;
  /** The engine at which it ends, and whose connection is closed. */
  readonly server: servers.ServerEntry;
  /** The engine at which it goes on. */
  readonly nextServer: servers.ServerEntry;
  /** Aborted when the run is to go on at the first engine again. */
  readonly signal?: AbortSignal;
}

/**
 * Makes sure that a run ends at an engine whose connection is closed. Most engines drop the run then, but not all:
 * the order to stop it is repeated until the engine says that the run is stopped or unknown there.
 */
export async function endRun(context: EndContext, run: EndedRun): Promise<void> {
  try {
    await context.clock.sleep(constants.RUN_DROP_DELAY_MS);
    await stopRun(context, run);
  } catch (error) {
    const { Handover } = diagnostics.ErrorOrigin;
    const { requestId } = run;
    diagnostics.recordInternalError(context, Handover, error, { requestId });
  }
}

async function stopRun(
  { clock, control, directory, log }: EndContext,
  { requestId, server, nextServer, signal }: EndedRun,
): Promise<void> {
  const startedAtMs = clock.nowMs();
  const options = { copyTo: nextServer, timeoutMs: constants.STOP_TIMEOUT_MS };
  let delayMs = constants.STOP_RETRY_DELAY_MS;
  let outcome = types.StopOutcome.Unknown;
  let ordersCount = 0;
  while (signal?.aborted !== true && clock.nowMs() - startedAtMs < constants.STOP_LIMIT_MS) {
    outcome = await control.stopRun(server, requestId, options);
    ordersCount += 1;
    if (outcome !== types.StopOutcome.Unknown) break;
    await clock.sleep(delayMs);
    if (directory.find(server.id) === undefined) break;
    delayMs *= 2;
  }
  const isExpected = outcome === types.StopOutcome.NoSuchRun;
  log.record(isExpected ? Importance.Routine : Importance.Notable, LogEvent.RunStopped, {
    requestId,
    serverId: server.id,
    nextServerId: nextServer.id,
    outcome,
    ordersCount,
    elapsedMs: Math.round(clock.nowMs() - startedAtMs),
  });
}

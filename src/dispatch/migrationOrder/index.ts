import type * as claimTables from "../claimTable/index.js";
import * as constants from "../constants.js";
import * as types from "../types.js";

/** A run that has to migrate off an engine with its memory. */
export interface MigratingRun {
  readonly requestId: string;
  /** Prompt tokens and output tokens so far. */
  readonly usedTokens: number;
}

/** Lists the runs of an engine that have produced their first event and have no backup. */
export function listMigratingRuns(
  claims: Pick<claimTables.ClaimTable, "listByServer" | "find">,
  serverId: string,
): readonly MigratingRun[] {
  return claims
    .listByServer(serverId)
    .filter(({ role, hasFirstEvent }) => role === types.ClaimRole.Run && hasFirstEvent)
    .filter(({ requestId }) => claims.find(requestId, types.ClaimRole.Backup) === undefined)
    .map(({ requestId, promptTokens, producedTokens }) => {
      return { requestId, usedTokens: promptTokens + producedTokens };
    });
}

/**
 * Lists the runs of a leaving engine that migrate before a given one. All VMs order them by request
 * id, so they need no coordination messages.
 */
export function listPredecessors(
  runs: readonly MigratingRun[],
  requestId: string,
): readonly MigratingRun[] {
  return runs.filter((run) => run.requestId < requestId);
}

/**
 * Longest time, in milliseconds from the termination notice of an engine, for which a run waits for
 * its predecessors: until all of them are transferred, even if each migrates between data centres.
 *
 * If all runs of a reclaimed engine migrated at once, they would share its link. A run stopped for
 * its final copy would wait behind the first copies of all others and its caller's stream would
 * stall, and possibly none would be complete when the engine is shut down.
 */
export function computeMaxPredecessorWaitMs(ahead: readonly MigratingRun[]): number {
  const aheadTokens = ahead.reduce((sum, run) => sum + run.usedTokens, 0);
  return aheadTokens / constants.CROSS_DATA_CENTRE_TOKENS_PER_MS;
}

import type * as claimTables from "../claimTable/index.js";
import * as constants from "../constants.js";
import * as estimateRemainingOutputs from "../estimateRemainingOutput/index.js";
import * as types from "../types.js";

/** A run that has to migrate off an engine with its memory. */
export interface MigratingRun {
  readonly requestId: string;
  readonly promptTokens: number;
  /** Prompt tokens and output tokens so far. */
  readonly usedTokens: number;
}

/**
 * Lists the runs of an engine that are lost with it unless they migrate: those that have produced
 * their first event, have no backup and do not end soon.
 */
export function listMigratingRuns(
  claims: Pick<claimTables.ClaimTable, "listByServer" | "find">,
  serverId: string,
): readonly MigratingRun[] {
  return claims
    .listByServer(serverId)
    .filter(({ role, hasFirstEvent }) => role === types.ClaimRole.Run && hasFirstEvent)
    .filter(({ requestId }) => claims.find(requestId, types.ClaimRole.Backup) === undefined)
    .filter((claim) => !endsSoon(claim))
    .map(({ requestId, promptTokens, producedTokens }) => {
      return { requestId, promptTokens, usedTokens: promptTokens + producedTokens };
    });
}

/**
 * Lists the runs of a leaving engine that migrate before a given one. Each run that stays is a lost
 * stream, and the engine's link transfers one at a time, so the smallest go first: most streams are
 * then saved before the engine ends. All VMs order the runs by prompt, which never changes, and by
 * request id, so they need no coordination messages.
 */
export function listPredecessors(
  runs: readonly MigratingRun[],
  requestId: string,
): readonly MigratingRun[] {
  const own = runs.find((run) => run.requestId === requestId);
  return runs.filter((run) => {
    const addedTokens = run.promptTokens - (own ?? run).promptTokens;
    return addedTokens < 0 || (addedTokens === 0 && run.requestId < requestId);
  });
}

/** Tokens of memory that an engine transfers in a millisecond, by what its service states. */
export function estimateTransferRate(statedTokensPerMs: number | undefined): number {
  const { DEFAULT_TRANSFER_TOKENS_PER_MS, TRANSFER_EFFICIENCY } = constants;
  return TRANSFER_EFFICIENCY * (statedTokensPerMs ?? DEFAULT_TRANSFER_TOKENS_PER_MS);
}

/**
 * Longest time, in milliseconds from the termination notice of an engine, for which a run waits for
 * its predecessors: until all of them are transferred, even if each migrates between data centres.
 *
 * If all runs of a reclaimed engine migrated at once, they would share its link. A run stopped for
 * its final copy would wait behind the first copies of all others and its caller's stream would
 * stall, and possibly none would be complete when the engine is shut down.
 *
 * @param tokensPerMs - speed of the engine's link within the data centre
 */
export function computeMaxPredecessorWaitMs(
  ahead: readonly MigratingRun[],
  tokensPerMs = estimateTransferRate(undefined),
): number {
  const aheadTokens = ahead.reduce((sum, run) => sum + run.usedTokens, 0);
  return (aheadTokens * constants.CROSS_TRANSFER_RATIO) / tokensPerMs;
}

/**
 * Latest time from the notice at which a run's own transfer has to begin to be complete before its
 * engine may end; 0 if it takes as long as the notice. A run that waited for longer would be lost.
 */
export function computeLatestTransferMs(usedTokens: number, tokensPerMs: number): number {
  const transferMs = (usedTokens * constants.CROSS_TRANSFER_RATIO) / tokensPerMs;
  return Math.max(0, constants.MIN_NOTICE_MS - transferMs);
}

function endsSoon({ expectedOutputTokens, producedTokens }: types.Claim): boolean {
  const remainingTokens = estimateRemainingOutputs.estimateRemainingOutput(
    expectedOutputTokens,
    producedTokens,
  );
  return remainingTokens * constants.TOKEN_TIME_MS < constants.MIN_MIGRATION_REMAINING_MS;
}

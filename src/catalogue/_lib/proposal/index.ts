import * as neverthrow from "neverthrow";

import type * as clocks from "../../../_lib/clock/index.js";
import * as stepError from "../../../_lib/stepError/index.js";
import * as appendBudgets from "../../../controlPlane/appendBudget/index.js";
import * as platform from "../../../controlPlane/types.js";
import * as replication from "../../../replication/index.js";
import * as applyRecord from "../../applyRecord/index.js";
import * as constants from "../../constants.js";
import * as types from "../../types.js";
import * as indexedState from "../indexedState/index.js";
import * as schemas from "../schemas/index.js";

/** Dependencies of a proposal. */
export interface ProposalContext {
  readonly clock: clocks.Clock;
  readonly logService: platform.LogService;
  readonly appendBudget: appendBudgets.AppendBudget;
  readonly follower: replication.StreamFollower<indexedState.IndexedState>;
}

type ProposalResult = neverthrow.Result<types.ProposalOutcome, stepError.StepError>;

/**
 * Appends a change to the log and reads the log until the change's outcome is known. A lost answer
 * of an append is treated as neither success nor failure.
 *
 * @param deadlineAtMs - monotonic time at which the proposal ends without an outcome
 * @returns the outcome, or an error that states whether the change may still take effect
 */
export async function proposeChange(
  context: ProposalContext,
  change: types.ChangeRecord,
  deadlineAtMs: number,
): Promise<ProposalResult> {
  const parsed = schemas.changeRecord.safeParse(change);
  if (!parsed.success)
    return neverthrow.err(createInvalidError(schemas.describeIssues(parsed.error)));
  let execution = stepError.ExecutionState.NotRun;
  let cause: stepError.StepError | undefined;
  for (let attempt = 0; attempt < constants.MAX_PROPOSE_APPENDS_COUNT; attempt += 1) {
    const remainingMs = deadlineAtMs - context.clock.nowMs();
    if (remainingMs <= 0) break;
    const appended = await appendOnce(context, parsed.data, remainingMs);
    if (appended.isOk()) {
      execution = stepError.ExecutionState.Unknown;
      const waitMs = deadlineAtMs - context.clock.nowMs();
      await context.follower.waitForOffset(appended.value, waitMs);
    } else {
      cause = appended.error;
      if (cause.execution !== stepError.ExecutionState.NotRun) execution = cause.execution;
      await context.follower.catchUpToEnd();
    }
    const outcome = findOutcome(context.follower.current, change);
    if (outcome !== null) return neverthrow.ok(outcome);
    if (appended.isOk()) break;
    await context.clock.sleep(Math.min(remainingMs, constants.PROPOSE_RETRY_PAUSE_MS));
  }
  return neverthrow.err(createUnknownOutcomeError(change.changeId, execution, cause));
}

/**
 * Reads the changes to one item from the retained log, the oldest first.
 *
 * @param query - the item, and the number of records after which the scan ends
 */
export async function readHistory(
  logService: platform.LogService,
  query: { readonly kind: types.ItemKind; readonly name: string; readonly maxRecords: number },
): Promise<neverthrow.Result<types.ItemHistoryEntry[], stepError.StepError>> {
  const entries: types.ItemHistoryEntry[] = [];
  for (let nextOffset = 0, scannedCount = 0; scannedCount < query.maxRecords;) {
    const read = await logService.read(platform.LogStream.Catalogue, nextOffset);
    if (read.isErr()) return neverthrow.err(read.error);
    const { records } = read.value;
    for (const record of records) {
      const parsed = schemas.changeRecord.safeParse(record.payload);
      if (!parsed.success) continue;
      if (parsed.data.kind !== query.kind || parsed.data.name !== query.name) continue;
      const { offset, appendedAtWallMs } = record;
      entries.push({ offset, appendedAtWallMs, change: parsed.data });
    }
    const last = records.at(-1);
    if (last === undefined) break;
    nextOffset = last.offset + 1;
    scannedCount += records.length;
  }
  return neverthrow.ok(entries);
}

async function appendOnce(
  context: ProposalContext,
  change: types.ChangeRecord,
  remainingMs: number,
): Promise<neverthrow.Result<number, stepError.StepError>> {
  const { clock, logService } = context;
  context.appendBudget.tryTake(appendBudgets.AppendPriority.Operator);
  const work = logService.append(platform.LogStream.Catalogue, [change]);
  const limitMs = Math.min(remainingMs, constants.APPEND_TIMEOUT_MS);
  return replication.limitTime(clock, limitMs, work, { step: "log.append", peer: "log" });
}

function findOutcome(
  state: indexedState.IndexedState,
  change: types.ChangeRecord,
): types.ProposalOutcome | null {
  const recorded = applyRecord.findRecordedOutcome(state, change.changeId);
  if (recorded === undefined) return null;
  const current = state.items.get(indexedState.formatItemKey(change.kind, change.name));
  return {
    isAccepted: recorded.outcome === types.ChangeOutcomeKind.Accepted,
    changeId: change.changeId,
    offset: recorded.offset,
    reason: recorded.reason,
    currentRevision: current?.revision ?? null,
    currentItem: current?.item ?? null,
  };
}

function createInvalidError(message: string): stepError.StepError {
  return new stepError.StepError(message, {
    code: stepError.ErrorCode.InvalidRequest,
    step: "catalogue.propose",
    execution: stepError.ExecutionState.NotRun,
  });
}

function createUnknownOutcomeError(
  changeId: string,
  execution: stepError.ExecutionState,
  cause: stepError.StepError | undefined,
): stepError.StepError {
  const hasPossibleEffect = execution !== stepError.ExecutionState.NotRun;
  const effect = hasPossibleEffect
    ? "it may still take effect; propose it again under the same change id"
    : "it did not take effect";
  return new stepError.StepError(`no outcome of change ${changeId} was read in time; ${effect}`, {
    code: stepError.ErrorCode.PlatformUnavailable,
    step: "catalogue.propose",
    peer: "log",
    execution,
    retryAfterMs: constants.PROPOSE_RETRY_PAUSE_MS,
    cause,
  });
}

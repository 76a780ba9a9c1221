import * as persistentMap from "../../_lib/persistentMap/index.js";
import type * as platform from "../../controlPlane/types.js";
import * as indexedState from "../_lib/indexedState/index.js";
import * as schemas from "../_lib/schemas/index.js";
import * as constants from "../constants.js";
import * as types from "../types.js";

/** State after a record, with the record's outcome. */
export interface AppliedRecord {
  readonly state: indexedState.IndexedState;
  readonly outcome: types.ChangeOutcome;
}

/**
 * Applies one record of the catalogue's stream. Every VM applies all records in offset order with
 * this function, so VMs at the same offset hold the same state.
 *
 * @param state - the state before the record
 * @param record - the record; its payload is not trusted, as other tools can append to the log
 * @returns the state after the record, and the record's outcome
 */
export function applyRecord(
  state: indexedState.IndexedState,
  record: platform.LogRecord,
): AppliedRecord {
  if (record.offset <= state.appliedOffset) {
    return {
      state,
      outcome: createOutcome(types.ChangeOutcomeKind.Stale, record, "applied before"),
    };
  }
  const advanced = { ...state, appliedOffset: record.offset };
  if (hasType(record.payload, "snapshot")) {
    return {
      state: advanced,
      outcome: createOutcome(types.ChangeOutcomeKind.Snapshot, record, ""),
    };
  }
  const parsed = schemas.changeRecord.safeParse(record.payload);
  if (!parsed.success) {
    const reason = schemas.describeIssues(parsed.error);
    return {
      state: advanced,
      outcome: createOutcome(types.ChangeOutcomeKind.Invalid, record, reason),
    };
  }
  return applyChange(advanced, record, parsed.data);
}

/** Finds the outcome of a change id; undefined if it was not used or is no longer recorded. */
export function findRecordedOutcome(
  state: types.CatalogueState,
  changeId: string,
): indexedState.RecordedOutcome | undefined {
  if (!("youngerChanges" in state)) return undefined;
  const indexed = state as indexedState.IndexedState;
  return indexed.youngerChanges.get(changeId) ?? indexed.olderChanges.get(changeId);
}

function applyChange(
  state: indexedState.IndexedState,
  record: platform.LogRecord,
  change: types.ChangeRecord,
): AppliedRecord {
  const key = indexedState.formatItemKey(change.kind, change.name);
  const before = state.items.get(key);
  const currentRevision = before?.revision ?? null;
  if (findRecordedOutcome(state, change.changeId) !== undefined) {
    const outcome = {
      kind: types.ChangeOutcomeKind.Repeated,
      offset: record.offset,
      changeId: change.changeId,
      reason: "the change id was used before",
      currentRevision,
    };
    return { state, outcome };
  }
  const rejection = findRejection(state, change, currentRevision);
  if (rejection !== null)
    return recordDecision(state, record, change, { ...rejection, currentRevision });
  const after = change.item === null ? undefined : { item: change.item, revision: record.offset };
  const changed = {
    ...state,
    items: after === undefined ? state.items.without(key) : state.items.with(key, after),
    indexes: indexedState.updateIndexes(state.indexes, before, after),
  };
  return recordDecision(changed, record, change, {
    kind: types.ChangeOutcomeKind.Accepted,
    reason: "",
    currentRevision: after?.revision ?? null,
  });
}

interface Decision {
  readonly kind: types.ChangeOutcomeKind;
  readonly reason: string;
  readonly currentRevision: number | null;
}

/** Returns the outcome and reason of a rejected change; null if it may be applied. */
function findRejection(
  state: indexedState.IndexedState,
  change: types.ChangeRecord,
  currentRevision: number | null,
): Pick<Decision, "kind" | "reason"> | null {
  if (change.baseRevision !== currentRevision) {
    const reason = `builds on revision ${String(change.baseRevision)}, but the current one is ${String(currentRevision)}`;
    return { kind: types.ChangeOutcomeKind.Conflict, reason };
  }
  if (change.item === null && currentRevision === null) {
    return { kind: types.ChangeOutcomeKind.Conflict, reason: "there is no such item to remove" };
  }
  for (const hash of indexedState.listKeyHashes(change.item ?? undefined)) {
    const accountName = state.indexes.accountNameByKeyHash.get(hash);
    if (accountName === undefined || accountName === change.name) continue;
    const reason = `a key hash already belongs to the account ${accountName}`;
    return { kind: types.ChangeOutcomeKind.Invalid, reason };
  }
  return null;
}

function recordDecision(
  state: indexedState.IndexedState,
  record: platform.LogRecord,
  change: types.ChangeRecord,
  decision: Decision,
): AppliedRecord {
  const outcome = { ...decision, offset: record.offset, changeId: change.changeId };
  const recordedOutcome: indexedState.RecordedOutcome = {
    offset: record.offset,
    outcome: decision.kind,
    reason: decision.reason,
    currentRevision: decision.currentRevision,
  };
  const isYoungerFull = state.youngerChanges.size >= constants.CHANGE_IDS_PER_MAP_COUNT;
  const younger = isYoungerFull
    ? persistentMap.PersistentMap.empty<indexedState.RecordedOutcome>()
    : state.youngerChanges;
  return {
    state: {
      ...state,
      youngerChanges: younger.with(change.changeId, recordedOutcome),
      olderChanges: isYoungerFull ? state.youngerChanges : state.olderChanges,
    },
    outcome,
  };
}

function createOutcome(
  kind: types.ChangeOutcomeKind,
  record: platform.LogRecord,
  reason: string,
): types.ChangeOutcome {
  return { kind, offset: record.offset, changeId: null, reason, currentRevision: null };
}

function hasType(payload: unknown, type: string): boolean {
  return (
    typeof payload === "object" && payload !== null && "type" in payload && payload.type === type
  );
}

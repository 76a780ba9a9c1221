import * as persistentMap from "../../_lib/persistentMap/index.js";
import type * as platform from "../../controlPlane/types.js";
import * as indexedState from "../_lib/indexedState/index.js";
import * as schemas from "../_lib/schemas/index.js";
import * as constants from "../constants.js";
import * as types from "../types.js";

/** A state with what the last record did to it. */
export interface AppliedRecord {
  readonly state: indexedState.IndexedState;
  readonly outcome: types.ChangeOutcome;
}

/**
 * Applies one record of the catalogue's stream. Every VM applies records in offset order by this
 * function alone, so two VMs at the same offset hold the same state.
 *
 * @param state - the state before the record
 * @param record - the record; its payload may come from anyone's tool
 * @returns the state after it, and what became of the record
 */
export function applyRecord(
  state: indexedState.IndexedState,
  record: platform.LogRecord,
): AppliedRecord {
  if (record.offset <= state.appliedOffset) {
    return { state, outcome: outcomeOf(types.ChangeOutcomeKind.Stale, record, "applied before") };
  }
  const advanced = { ...state, appliedOffset: record.offset };
  if (hasType(record.payload, "snapshot")) {
    return { state: advanced, outcome: outcomeOf(types.ChangeOutcomeKind.Snapshot, record, "") };
  }
  const parsed = schemas.changeRecord.safeParse(record.payload);
  if (!parsed.success) {
    const reason = schemas.describeIssues(parsed.error);
    return {
      state: advanced,
      outcome: outcomeOf(types.ChangeOutcomeKind.Invalid, record, reason),
    };
  }
  return applyChange(advanced, record, parsed.data);
}

/** What was decided about a change id, where it is still remembered. */
export function findSettledChange(
  state: types.CatalogueState,
  changeId: string,
): indexedState.SettledChange | undefined {
  if (!("youngerChanges" in state)) return undefined;
  const indexed = state as indexedState.IndexedState;
  return indexed.youngerChanges.get(changeId) ?? indexed.olderChanges.get(changeId);
}

function applyChange(
  state: indexedState.IndexedState,
  record: platform.LogRecord,
  change: types.ChangeRecord,
): AppliedRecord {
  const key = indexedState.itemKey(change.kind, change.name);
  const before = state.items.get(key);
  const currentRevision = before?.revision ?? null;
  if (findSettledChange(state, change.changeId) !== undefined) {
    const outcome = {
      kind: types.ChangeOutcomeKind.Repeated,
      offset: record.offset,
      changeId: change.changeId,
      reason: "the change id was used before",
      currentRevision,
    };
    return { state, outcome };
  }
  const refusal = findRefusal(state, change, currentRevision);
  if (refusal !== null) return settle(state, record, change, { ...refusal, currentRevision });
  const after = change.item === null ? undefined : { item: change.item, revision: record.offset };
  const changed = {
    ...state,
    items: after === undefined ? state.items.without(key) : state.items.with(key, after),
    indexes: indexedState.reindex(state.indexes, before, after),
  };
  return settle(changed, record, change, {
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

/** Why a change may not be applied; null where it may. */
function findRefusal(
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
  for (const hash of indexedState.keyHashesOf(change.item ?? undefined)) {
    const holder = state.indexes.accountNameByKeyHash.get(hash);
    if (holder === undefined || holder === change.name) continue;
    const reason = `a key hash already belongs to the account ${holder}`;
    return { kind: types.ChangeOutcomeKind.Invalid, reason };
  }
  return null;
}

function settle(
  state: indexedState.IndexedState,
  record: platform.LogRecord,
  change: types.ChangeRecord,
  decision: Decision,
): AppliedRecord {
  const outcome = { ...decision, offset: record.offset, changeId: change.changeId };
  const settled: indexedState.SettledChange = {
    offset: record.offset,
    outcome: decision.kind,
    reason: decision.reason,
    currentRevision: decision.currentRevision,
  };
  const isYoungerFull = state.youngerChanges.size >= constants.CHANGE_ID_GENERATION_SIZE;
  const younger = isYoungerFull
    ? persistentMap.PersistentMap.empty<indexedState.SettledChange>()
    : state.youngerChanges;
  return {
    state: {
      ...state,
      youngerChanges: younger.with(change.changeId, settled),
      olderChanges: isYoungerFull ? state.youngerChanges : state.olderChanges,
    },
    outcome,
  };
}

function outcomeOf(
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

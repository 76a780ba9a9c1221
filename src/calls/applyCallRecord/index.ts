import type * as platform from "../../controlPlane/types.js";
import * as callRecords from "../_lib/callRecords/index.js";
import * as constants from "../constants.js";
import * as types from "../types.js";

/**
 * Applies one record of the log stream of calls. All VMs apply the records in offset order with
 * this function, so they agree on which attempt holds a key.
 *
 * @param state - state before the record
 * @param record - record to apply; a malformed one advances only the offset and the log time
 */
export function applyCallRecord(
  state: types.CallsState,
  record: platform.LogRecord,
): types.CallsState {
  if (record.offset <= state.appliedOffset) return state;
  const advanced = sweepExpiredKeys({
    ...state,
    appliedOffset: record.offset,
    logTimeMs: Math.max(state.logTimeMs, record.appendedAtWallMs),
  });
  const parsed = callRecords.parseCallRecord(record.payload);
  if (parsed === null) return advanced;
  const before = findKeyState(advanced, parsed.keyId);
  const apply = HANDLERS[parsed.type] as Handler<types.CallRecord>;
  const after = apply(advanced, before, parsed);
  return after === before
    ? advanced
    : { ...advanced, keys: advanced.keys.with(parsed.keyId, after) };
}

/**
 * Returns the state of a key, without its answer if that has expired at the state's log time.
 *
 * @returns the key's state; a free one if the key is not stored
 */
export function findKeyState(state: types.CallsState, keyId: string): types.KeyState {
  const stored = state.keys.get(keyId);
  return stored === undefined ? UNUSED_KEY : expireAnswer(stored, state.logTimeMs);
}

/**
 * Whether a key that carries a timestamp exceeds the maximum age. The state of such keys is
 * removed, so an earlier use can no longer be ruled out.
 */
export function isKeyTooOld(state: types.CallsState, keyTimeMs: number | null): boolean {
  return keyTimeMs !== null && keyTimeMs < state.logTimeMs - constants.MAX_TIMED_KEY_AGE_MS;
}

const UNUSED_KEY: types.KeyState = {
  phase: types.KeyPhase.Free,
  attempt: "",
  bodyHash: "",
  vm: "",
  changedAtWallMs: 0,
  retentionMs: 0,
  keyTimeMs: null,
  answer: null,
  releasedAttempts: [],
};

type Handler<R extends types.CallRecord> = (
  state: types.CallsState,
  before: types.KeyState,
  record: R,
) => types.KeyState;

type Handlers = {
  readonly [T in types.CallRecord["type"]]: Handler<Extract<types.CallRecord, { type: T }>>;
};

const HANDLERS: Handlers = {
  intent: applyIntent,
  released: applyReleased,
  outcome: applyOutcome,
  unknown: applyUnknown,
};

/** An intent takes a free key, unless its attempt was released or the key is too old. */
function applyIntent(
  state: types.CallsState,
  before: types.KeyState,
  record: types.IntentRecord,
): types.KeyState {
  if (before.phase !== types.KeyPhase.Free) return before;
  if (before.releasedAttempts.includes(record.attempt)) return before;
  if (isKeyTooOld(state, record.keyTimeMs)) return before;
  return {
    ...before,
    phase: types.KeyPhase.Held,
    attempt: record.attempt,
    bodyHash: record.bodyHash,
    vm: record.vm,
    keyTimeMs: record.keyTimeMs,
    retentionMs: record.retentionMs,
    changedAtWallMs: state.logTimeMs,
  };
}

/** A release frees a key that its attempt holds; a later intent of that attempt has no effect. */
function applyReleased(
  state: types.CallsState,
  before: types.KeyState,
  record: types.ReleasedRecord,
): types.KeyState {
  if (before.releasedAttempts.includes(record.attempt)) return before;
  const releasedAttempts = [...before.releasedAttempts, record.attempt].slice(
    -constants.MAX_RELEASED_ATTEMPTS,
  );
  const isHolder = before.phase === types.KeyPhase.Held && before.attempt === record.attempt;
  if (!isHolder && before.phase !== types.KeyPhase.Free) return { ...before, releasedAttempts };
  return { ...UNUSED_KEY, releasedAttempts, changedAtWallMs: state.logTimeMs };
}

/** The first outcome of the attempt that holds the key is kept; later ones have no effect. */
function applyOutcome(
  state: types.CallsState,
  before: types.KeyState,
  record: types.OutcomeRecord,
): types.KeyState {
  if (!isAwaitingOutcome(before) || before.attempt !== record.attempt) return before;
  const changedAtWallMs = state.logTimeMs;
  return { ...before, phase: types.KeyPhase.Done, answer: record.answer, changedAtWallMs };
}

function applyUnknown(
  state: types.CallsState,
  before: types.KeyState,
  record: types.UnknownRecord,
): types.KeyState {
  if (before.phase !== types.KeyPhase.Held || before.attempt !== record.attempt) return before;
  return { ...before, phase: types.KeyPhase.Unknown, changedAtWallMs: state.logTimeMs };
}

function isAwaitingOutcome(key: types.KeyState): boolean {
  return key.phase === types.KeyPhase.Held || key.phase === types.KeyPhase.Unknown;
}

/** Returns the key without its answer if the answer's retention time is over. */
function expireAnswer(key: types.KeyState, logTimeMs: number): types.KeyState {
  const isOver = logTimeMs - key.changedAtWallMs > key.retentionMs;
  if (key.phase !== types.KeyPhase.Done || !isOver) return key;
  return { ...key, phase: types.KeyPhase.Spent, answer: null, releasedAttempts: [] };
}

/**
 * Removes expired keys and answers from one slice of the keys. The log offset determines the slice
 * and the time of its sweep, so that all VMs hold the same state.
 */
function sweepExpiredKeys(state: types.CallsState): types.CallsState {
  if (state.appliedOffset % constants.RECORDS_PER_SWEEP !== 0) return state;
  let { keys } = state;
  for (const keyId of keys.keysOfSlice(state.appliedOffset / constants.RECORDS_PER_SWEEP)) {
    const stored = keys.get(keyId);
    if (stored === undefined) continue;
    const aged = expireAnswer(stored, state.logTimeMs);
    if (canBeRemoved(state, aged)) keys = keys.without(keyId);
    else if (aged !== stored) keys = keys.with(keyId, aged);
  }
  return keys === state.keys ? state : { ...state, keys };
}

function canBeRemoved(state: types.CallsState, key: types.KeyState): boolean {
  if (key.phase === types.KeyPhase.Free) {
    return state.logTimeMs - key.changedAtWallMs > constants.RELEASED_ATTEMPT_RETENTION_MS;
  }
  return isKeyTooOld(state, key.keyTimeMs);
}

import * as types from "../types.js";

/** What a call with a key does next. */
export enum KeyDecision {
  /** Nobody holds the key: try to become its live attempt. */
  Claim = "claim",
  /** The outcome is known: give it again. */
  Replay = "replay",
  /** The key was used with another body: refuse. */
  RefuseOtherBody = "refuse-other-body",
  /** The key was used, and its answer is no longer kept: refuse. */
  RefuseSpent = "refuse-spent",
  /** The key is too old to be told from one that was forgotten: refuse. */
  RefuseTooOld = "refuse-too-old",
  /** Another attempt runs or its outcome is open: wait for it. */
  Wait = "wait",
}

/**
 * What a call with a key does next, by what the log's order says about the key.
 *
 * @param key - the key's state
 * @param bodyHash - hash of this call's body
 * @param isTooOld - whether the key's own time is out of the stated window
 */
export function decideOnKey(key: types.KeyState, bodyHash: string, isTooOld: boolean): KeyDecision {
  if (key.phase === types.KeyPhase.Free) {
    return isTooOld ? KeyDecision.RefuseTooOld : KeyDecision.Claim;
  }
  if (key.bodyHash !== bodyHash) return KeyDecision.RefuseOtherBody;
  if (key.phase === types.KeyPhase.Spent) return KeyDecision.RefuseSpent;
  if (key.phase !== types.KeyPhase.Done) return KeyDecision.Wait;
  return key.answer === null ? KeyDecision.RefuseSpent : KeyDecision.Replay;
}

import * as types from "../types.js";

/** What a call with an idempotency key does next. */
export enum KeyDecision {
  /** No attempt holds the key: try to claim it. */
  Claim = "claim",
  /** The outcome is known: return the stored answer. */
  Replay = "replay",
  /** The key was used with another body or content type: refuse. */
  RefuseOtherBody = "refuse-other-body",
  /** The key was used, and its answer is not stored any more: refuse. */
  RefuseSpent = "refuse-spent",
  /** The key exceeds its maximum age, so an earlier use may have been removed: refuse. */
  RefuseTooOld = "refuse-too-old",
  /** Another attempt is running or its outcome is unknown: wait for it. */
  Wait = "wait",
}

/**
 * Decides what a call with an idempotency key does next, from the state of the key.
 *
 * @param key - state of the key
 * @param bodyHash - hash of this call's content type and body
 * @param isTooOld - whether the timestamp that the key carries exceeds the maximum age
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

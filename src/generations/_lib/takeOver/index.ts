import * as attempts from "../attempts/index.js";
import type * as engineRuns from "../engineRun/index.js";
import type * as locators from "../locator/index.js";
import type * as messages from "../messages/index.js";

/** A new owner's claim to a generation. */
export interface TakeOverClaim {
  readonly requestId: string;
  readonly attempt: number;
  readonly newOwnerVm: string;
}

/**
 * Hands a generation over to a new owner. From then on this VM sends and accepts no frames of an
 * attempt older than the returned one.
 *
 * @returns this VM's state of the generation; null if it holds none
 */
export function releaseGeneration(
  roles: locators.RoleHandlers,
  claim: TakeOverClaim,
): messages.GenerationSnapshot | null {
  const run = roles.home.findRun(claim.requestId);
  const generation = roles.owner.find(claim.requestId);
  const record = generation?.record ?? roles.standby.find(claim.requestId);
  const knownAttempt = Math.max(run?.attempt ?? 0, record?.attempt ?? 0);
  const attempt = Math.max(claim.attempt, attempts.computeNextOwnerAttempt(knownAttempt));
  run?.adopt(attempt, claim.newOwnerVm);
  if (record === null) return run && createSnapshotOfRun(run, attempt);
  const snapshot = { ...record.snapshot(), attempt };
  if (generation !== null) generation.stepDown(claim.newOwnerVm, attempt);
  record.attempt = attempt;
  record.ownerVm = claim.newOwnerVm;
  return run === null
    ? snapshot
    : selectLongerSnapshot(snapshot, createSnapshotOfRun(run, attempt));
}

/**
 * Merges the holders' snapshots: the tokens of the newest sampling, of the holder that has most of
 * them, under the highest attempt. Returns null if there are no snapshots.
 */
export function mergeSnapshots(
  snapshots: readonly messages.GenerationSnapshot[],
  newOwnerVm: string,
): messages.GenerationSnapshot | null {
  const [first, ...others] = snapshots;
  if (first === undefined) return null;
  const best = others.reduce(selectLongerSnapshot, first);
  const attempt = Math.max(...snapshots.map((snapshot) => snapshot.attempt));
  const run = snapshots.find((snapshot) => snapshot.run !== null)?.run ?? null;
  return {
    ...best,
    ownerVm: newOwnerVm,
    keeperVm: best.keeperVm === newOwnerVm ? null : best.keeperVm,
    attempt,
    run: best.run ?? run,
  };
}

function selectLongerSnapshot(
  left: messages.GenerationSnapshot,
  right: messages.GenerationSnapshot,
): messages.GenerationSnapshot {
  if (left.samplingAttempt !== right.samplingAttempt) {
    return left.samplingAttempt > right.samplingAttempt ? left : right;
  }
  if (left.tokens.length !== right.tokens.length) {
    return left.tokens.length > right.tokens.length ? left : right;
  }
  return left.finishReason === null ? right : left;
}

function createSnapshotOfRun(
  run: engineRuns.EngineRun,
  attempt: number,
): messages.GenerationSnapshot {
  return {
    request: run.request,
    ownerVm: run.ownerVm,
    keeperVm: run.standbyVm,
    attempt,
    samplingAttempt: run.samplingAttempt,
    suspensionsCount: run.suspensionsCount,
    tokens: [...run.tokens],
    finishReason: run.finishReason,
    run: run.location,
  };
}

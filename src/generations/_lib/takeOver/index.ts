import * as attempts from "../attempts/index.js";
import type * as engineRuns from "../engineRun/index.js";
import type * as locators from "../locator/index.js";
import type * as messages from "../messages/index.js";

/** A new owner's claim on a generation. */
export interface TakeOverClaim {
  readonly requestId: string;
  readonly attempt: number;
  readonly newOwnerVm: string;
}

/**
 * Hands over whatever this VM holds of a generation. From then on nothing of an older attempt is
 * sent or accepted here.
 *
 * @returns everything held; null where nothing is
 */
export function release(
  holders: locators.Holders,
  claim: TakeOverClaim,
): messages.GenerationSnapshot | null {
  const run = holders.home.findRun(claim.requestId);
  const generation = holders.owner.find(claim.requestId);
  const record = generation?.record ?? holders.keeper.find(claim.requestId);
  const knownAttempt = Math.max(run?.attempt ?? 0, record?.attempt ?? 0);
  const attempt = Math.max(claim.attempt, attempts.nextOwnerAttempt(knownAttempt));
  run?.adopt(attempt, claim.newOwnerVm);
  if (record === null) return run && snapshotOfRun(run, attempt);
  const snapshot = { ...record.snapshot(), attempt };
  if (generation !== null) generation.stepDown(claim.newOwnerVm, attempt);
  record.attempt = attempt;
  record.ownerVm = claim.newOwnerVm;
  return run === null ? snapshot : longerSnapshot(snapshot, snapshotOfRun(run, attempt));
}

/**
 * What the holders know together: the tokens of the one that has most, under the highest attempt.
 * Where none has any, the sampling counts as a new one.
 */
export function mergeSnapshots(
  snapshots: readonly messages.GenerationSnapshot[],
  newOwnerVm: string,
): messages.GenerationSnapshot | null {
  const [first, ...others] = snapshots;
  if (first === undefined) return null;
  const best = others.reduce(longerSnapshot, first);
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

function longerSnapshot(
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

function snapshotOfRun(run: engineRuns.EngineRun, attempt: number): messages.GenerationSnapshot {
  return {
    request: run.request,
    ownerVm: run.ownerVm,
    keeperVm: run.keeperVm,
    attempt,
    samplingAttempt: run.samplingAttempt,
    suspensionsCount: run.suspensionsCount,
    tokens: [...run.tokens],
    finishReason: run.finishReason,
    run: run.location,
  };
}

import type * as randoms from "../../_lib/random/index.js";
import * as constants from "../constants.js";

/** Decision on a generation for which no engine has capacity now. */
export enum Admission {
  Wait = "wait",
  Refuse = "refuse",
}

/** Input of the admission decision. */
export interface AdmissionInput {
  /** Expected wait until an engine has capacity. */
  readonly expectedWaitMs: number;
  /** Expected duration of the run itself. */
  readonly expectedRunMs: number;
  /** Time until the earlier of the caller's deadline and the route's timeout. */
  readonly timeLeftMs: number;
}

/**
 * Decides whether a generation waits for capacity or is refused at once. It waits if it can be
 * served completely in the time left.
 */
export function decideAdmission(request: AdmissionInput): Admission {
  const neededMs = request.expectedWaitMs + request.expectedRunMs;
  return neededMs <= request.timeLeftMs ? Admission.Wait : Admission.Refuse;
}

/**
 * Whether a generation that has waited for capacity may still end in time, if its engine writes as fast as
 * engines do at most. One that cannot would hold memory in vain that others wait for. The load that it
 * answers is a queue that is longer than the callers' time.
 */
export function canEndInTime({
  expectedRunMs,
  timeLeftMs,
}: Omit<AdmissionInput, "expectedWaitMs">): boolean {
  return constants.FASTEST_RUN_RATIO * expectedRunMs <= timeLeftMs;
}

/**
 * Time in milliseconds after which a refused caller should retry: the bounded expected wait, plus a
 * random delay of up to the same length, so that callers refused together do not retry together.
 */
export function computeRetryAfterMs(expectedWaitMs: number, random: randoms.RandomSource): number {
  const boundedMs = Math.min(
    constants.MAX_RETRY_AFTER_MS,
    Math.max(constants.MIN_RETRY_AFTER_MS, expectedWaitMs),
  );
  return Math.round(boundedMs * (1 + random.next()));
}

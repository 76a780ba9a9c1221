import type * as randoms from "../../_lib/random/index.js";
import * as constants from "../constants.js";

/** Whether a generation may wait for room. */
export enum Admission {
  Wait = "wait",
  Refuse = "refuse",
}

/** What the decision whether a generation may wait rests on, all in milliseconds. */
export interface AdmissionCase {
  readonly expectedWaitMs: number;
  /** Time that the run itself takes. */
  readonly expectedRunMs: number;
  /** What is left of the caller's and of the route's time. */
  readonly timeLeftMs: number;
}

/**
 * Decides whether a generation waits for room or is refused at once: it waits where it can still
 * be served whole in time.
 */
export function decideAdmission(request: AdmissionCase): Admission {
  const neededMs = request.expectedWaitMs + request.expectedRunMs;
  return neededMs <= request.timeLeftMs ? Admission.Wait : Admission.Refuse;
}

/**
 * When a refused caller should come back: when room is expected, spread over as long again, so
 * that those who were refused together do not return together.
 */
export function retryAfterMs(expectedWaitMs: number, random: randoms.RandomSource): number {
  const boundedMs = Math.min(
    constants.MAX_RETRY_AFTER_MS,
    Math.max(constants.MIN_RETRY_AFTER_MS, expectedWaitMs),
  );
  return Math.round(boundedMs * (1 + random.next()));
}

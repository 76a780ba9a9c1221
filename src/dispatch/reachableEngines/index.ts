import * as constants from "../constants.js";
import type * as types from "../types.js";

/**
 * The engines among which a generation is placed: those in data centres to which the way is
 * open. One that has waited for room for a while may try the others too, so that a way that is
 * open again is found.
 *
 * Answers a cut between data centres, in which each attempt beyond it costs the time for a
 * connection while engines on this side are about to have room.
 */
export function reachableEngines(
  engines: readonly types.EngineCandidate[],
  waitedMs: number,
): readonly types.EngineCandidate[] {
  const reachable = engines.filter(({ isCutOff }) => !isCutOff);
  const mayTryAll = reachable.length === 0 || waitedMs >= constants.CUT_OFF_TRIAL_MS;
  return mayTryAll ? engines : reachable;
}

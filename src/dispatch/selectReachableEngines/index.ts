import * as constants from "../constants.js";
import type * as types from "../types.js";

/**
 * Selects the engines on which a generation may be placed: those behind no suspected partition. A
 * generation that has waited long enough may use all engines, so that the end of a partition is
 * detected.
 *
 * During a partition, each attempt across it costs a connection timeout, while engines on this side
 * may have capacity soon.
 */
export function selectReachableEngines(
  engines: readonly types.EngineCandidate[],
  waitedMs: number,
): readonly types.EngineCandidate[] {
  const reachable = engines.filter(({ isPartitioned }) => !isPartitioned);
  const canTryAll = reachable.length === 0 || waitedMs >= constants.PARTITION_RETRY_WAIT_MS;
  return canTryAll ? engines : reachable;
}

import * as fleet from "../../fleet/types.js";
import type * as http from "../../http/index.js";
import type * as adminClients from "../adminClient/index.js";
import * as constants from "../constants.js";
import type * as types from "../types.js";

/** Which live VMs have applied a revision (`inForce`) and which have not (`notYet`). */
export interface RolloutStatus {
  readonly revision: number;
  readonly inForce: readonly string[];
  readonly notYet: readonly string[];
}

/** Splits the live VMs by whether they have applied a revision. */
export function splitByAppliedRevision(
  nodes: readonly http.NodeDescription[],
  revision: number,
): RolloutStatus {
  const live = nodes.filter((node) => node.state !== fleet.MemberState.Dead);
  const hasRevision = (node: http.NodeDescription): boolean =>
    (node.appliedOffset ?? -1) >= revision;
  return {
    revision,
    inForce: live.filter(hasRevision).map((node) => node.name),
    notYet: live.filter((node) => !hasRevision(node)).map((node) => node.name),
  };
}

/**
 * Polls the fleet until all live VMs have applied a revision or the timeout has passed.
 *
 * @returns the status of the last poll
 */
export async function waitUntilInForce(
  context: types.CliContext,
  client: adminClients.AdminClient,
  revision: number,
  timeoutMs: number,
): Promise<RolloutStatus> {
  const deadlineMs = context.clock.nowMs() + timeoutMs;
  for (;;) {
    const nodes = await client.listNodes();
    const status = splitByAppliedRevision(nodes.value, revision);
    if (status.notYet.length === 0 || context.clock.nowMs() >= deadlineMs) return status;
    await context.clock.sleep(constants.ROLLOUT_POLL_INTERVAL_MS);
  }
}

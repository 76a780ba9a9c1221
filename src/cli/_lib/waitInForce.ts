import * as fleet from "../../fleet/types.js";
import type * as http from "../../http/index.js";
import type * as adminClients from "../adminClient/index.js";
import * as constants from "../constants.js";
import type * as types from "../types.js";

/** On which VMs a revision is in force. */
export interface ForceStatus {
  readonly revision: number;
  readonly inForce: readonly string[];
  readonly notYet: readonly string[];
}

/** Splits the live nodes by whether they have applied a revision. */
export function splitByForce(
  nodes: readonly http.NodeDescription[],
  revision: number,
): ForceStatus {
  const live = nodes.filter((node) => node.state !== fleet.MemberState.Dead);
  const hasRevision = (node: http.NodeDescription): boolean =>
    (node.appliedOffset ?? -1) >= revision;
  return {
    revision,
    inForce: live.filter(hasRevision).map((node) => node.name),
    notYet: live.filter((node) => !hasRevision(node)).map((node) => node.name),
  };
}

/** Looks at the fleet until a revision is in force everywhere, or the time is over. */
export async function waitInForce(
  context: types.CliContext,
  client: adminClients.AdminClient,
  revision: number,
  timeoutMs: number,
): Promise<ForceStatus> {
  const deadlineMs = context.clock.nowMs() + timeoutMs;
  for (;;) {
    const nodes = await client.listNodes();
    const status = splitByForce(nodes.value, revision);
    if (status.notYet.length === 0 || context.clock.nowMs() >= deadlineMs) return status;
    await context.clock.sleep(constants.WAIT_INTERVAL_MS);
  }
}

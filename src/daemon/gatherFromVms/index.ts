import type * as fleet from "../../fleet/types.js";
import * as fleetTypes from "../../fleet/types.js";
import type * as http from "../../http/index.js";
import type * as peers from "../../peers/types.js";
import * as replication from "../../replication/index.js";
import * as constants from "../constants.js";

/** Dependencies needed to query the other VMs. */
export interface GatherParts {
  readonly fleetView: fleet.FleetView;
  readonly peerNetwork: peers.PeerNetwork;
}

/** One VM's part of a gathered answer. */
export interface VmPart<T> {
  readonly vm: string;
  readonly value: T;
}

/**
 * Requests the parts of an answer from all VMs that are not dead, with bounded concurrency.
 *
 * @param method - the peer method that returns a VM's part
 * @param params - the parameters of that method
 * @param own - this VM's part
 * @returns the parts, this VM's first, and the names of the VMs that did not answer in time
 */
export async function gatherFromVms<T>(
  parts: GatherParts,
  method: string,
  params: unknown,
  own: T,
): Promise<http.Gathered<readonly VmPart<T>[]>> {
  const selfName = parts.fleetView.self.name;
  const others = parts.fleetView
    .members()
    .filter((member) => member.name !== selfName && member.state !== fleetTypes.MemberState.Dead);
  const answers = await replication.mapConcurrently(others, async ({ name }) => {
    const answer = await parts.peerNetwork.call(name, method, params, {
      timeoutMs: constants.GATHER_TIMEOUT_MS,
    });
    return { vm: name, answer };
  });
  const value: VmPart<T>[] = [{ vm: selfName, value: own }];
  const missingVms: string[] = [];
  for (const { vm, answer } of answers) {
    if (answer.isOk()) value.push({ vm, value: answer.value as T });
    else missingVms.push(vm);
  }
  return { value, missingVms };
}

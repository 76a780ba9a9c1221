import * as selectFirstByRendezvous from "../selectFirstByRendezvous/index.js";
import * as types from "../types.js";

/**
 * Returns the VM that schedules an engine's memory: the first by rendezvous hashing among the live
 * VMs of the engine's data centre.
 *
 * @param engineName - name of the engine
 * @param dataCentre - the engine's data centre
 * @param members - the fleet as this VM sees it
 * @returns the home, or undefined if the data centre has no live VM
 */
export function findHome(
  engineName: string,
  dataCentre: string,
  members: readonly types.VmMember[],
): types.VmMember | undefined {
  const candidates = members.filter(
    (member) => member.dataCentre === dataCentre && member.state === types.MemberState.Live,
  );
  return selectFirstByRendezvous.selectFirstByRendezvous(engineName, candidates);
}

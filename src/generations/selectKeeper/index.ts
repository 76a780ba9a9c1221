import type * as fleet from "../../fleet/types.js";
import * as fleetTypes from "../../fleet/types.js";
import * as rendezvous from "../_lib/rendezvous/index.js";

/**
 * The VM that holds the second copy of a request: another data centre of the owner's region
 * where possible, so that the loss of one takes only one copy.
 *
 * @param requestId - the request
 * @param self - the VM that holds the first copy
 * @param members - the fleet as this VM sees it
 * @param isAvoided - VMs to pass over
 * @returns the VM's name; null where this VM is alone
 */
export function selectKeeper(
  requestId: string,
  self: fleet.VmIdentity,
  members: readonly fleet.VmMember[],
  isAvoided: (vmName: string) => boolean = () => false,
): string | null {
  const others = members.filter(
    (member) =>
      member.name !== self.name &&
      member.state === fleetTypes.MemberState.Live &&
      !isAvoided(member.name),
  );
  const sameRegion = others.filter((member) => member.region === self.region);
  const apart = sameRegion.filter((member) => member.dataCentre !== self.dataCentre);
  const candidates = [apart, sameRegion, others].find((group) => group.length > 0) ?? [];
  const names = candidates.map((member) => member.name);
  return rendezvous.rankByRendezvous(requestId, names)[0] ?? null;
}

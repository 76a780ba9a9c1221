import * as fleet from "../../fleet/index.js";

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
      member.state === fleet.MemberState.Live &&
      !isAvoided(member.name),
  );
  const sameRegion = others.filter((member) => member.region === self.region);
  const apart = sameRegion.filter((member) => member.dataCentre !== self.dataCentre);
  const candidates = [apart, sameRegion, others].find((group) => group.length > 0) ?? [];
  return fleet.rankByRendezvous(requestId, candidates)[0]?.name ?? null;
}

/**
 * VMs that `selectKeeper` may have chosen for a request, whichever VM accepted it.
 *
 * @param requestId - the request
 * @param members - the fleet as this VM sees it
 * @returns at most three names
 */
export function listLikelyKeepers(
  requestId: string,
  members: readonly fleet.VmMember[],
): readonly string[] {
  const live = members.filter((member) => member.state === fleet.MemberState.Live);
  const [first, second, ...others] = fleet.rankByRendezvous(requestId, live);
  if (first === undefined || second === undefined) return first === undefined ? [] : [first.name];
  const apart = [second, ...others].find((member) => member.dataCentre !== first.dataCentre);
  return [...new Set([first.name, second.name, apart?.name ?? first.name])];
}

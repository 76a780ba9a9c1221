import * as fleet from "../../fleet/index.js";

/**
 * Selects the standby of a request, the VM with the second replica of its record. Prefers another
 * data centre of the owner's region, so that the loss of a data centre loses only one replica.
 *
 * @param requestId - the request
 * @param self - the owner, which holds the first replica
 * @param members - the fleet as this VM sees it
 * @param isAvoided - VMs to exclude
 * @returns the VM's name; null if there is no other live VM
 */
export function selectStandby(
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
  const otherDataCentres = sameRegion.filter((member) => member.dataCentre !== self.dataCentre);
  const candidates = [otherDataCentres, sameRegion, others].find((group) => group.length > 0) ?? [];
  return fleet.rankByRendezvous(requestId, candidates)[0]?.name ?? null;
}

/**
 * Lists VMs that `selectStandby` is likely to have selected for a request, whichever VM accepted it.
 *
 * @param requestId - the request
 * @param members - the fleet as this VM sees it
 * @returns at most three names
 */
export function listStandbyCandidates(
  requestId: string,
  members: readonly fleet.VmMember[],
): readonly string[] {
  const live = members.filter((member) => member.state === fleet.MemberState.Live);
  const [first, second, ...others] = fleet.rankByRendezvous(requestId, live);
  if (first === undefined || second === undefined) return first === undefined ? [] : [first.name];
  const remote = [second, ...others].find((member) => member.dataCentre !== first.dataCentre);
  return [...new Set([first.name, second.name, remote?.name ?? first.name])];
}

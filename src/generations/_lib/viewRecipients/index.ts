import * as fleet from "../../../fleet/index.js";

/** Largest fleet in which every home sends its engine views to every VM. */
const FULL_MESH_MAX_VMS_COUNT = 32;

/** The VMs to which a home sends its engine views. */
export interface ViewRecipients {
  /** VMs that receive every change. */
  readonly direct: readonly string[];
  /** One VM of each other data centre, which receives only the engines with most free memory. */
  readonly relays: readonly string[];
}

/**
 * Selects the VMs to which a home sends its engine views: all VMs of a small fleet; in a large one
 * those of its own data centre, and one relay in each other.
 */
export function selectViewRecipients(
  self: fleet.VmIdentity,
  members: readonly fleet.VmMember[],
): ViewRecipients {
  const live = members.filter((member) => member.state !== fleet.MemberState.Dead);
  if (live.length <= FULL_MESH_MAX_VMS_COUNT) return { direct: live.map(getName), relays: [] };
  const direct = live.filter((member) => member.dataCentre === self.dataCentre).map(getName);
  const dataCentres = new Set(live.map((member) => member.dataCentre));
  dataCentres.delete(self.dataCentre);
  const relays = [...dataCentres].flatMap((dataCentre) => selectRelay(dataCentre, live) ?? []);
  return { direct, relays };
}

/** Whether a VM forwards engine views from other data centres to its own. */
export function isRelay(self: fleet.VmIdentity, members: readonly fleet.VmMember[]): boolean {
  const live = members.filter((member) => member.state !== fleet.MemberState.Dead);
  return live.length > FULL_MESH_MAX_VMS_COUNT && selectRelay(self.dataCentre, live) === self.name;
}

function selectRelay(dataCentre: string, members: readonly fleet.VmMember[]): string | null {
  const candidates = members.filter((member) => member.dataCentre === dataCentre);
  return fleet.rankByRendezvous(dataCentre, candidates)[0]?.name ?? null;
}

function getName(member: fleet.VmMember): string {
  return member.name;
}

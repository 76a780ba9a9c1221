import * as fleet from "../../../fleet/index.js";

/** Up to this size of fleet every VM hears of every engine directly. */
const SMALL_FLEET_COUNT = 32;

/** The VMs that a home tells about its engines. */
export interface ViewRecipients {
  /** Told of every change. */
  readonly near: readonly string[];
  /** One VM of each other data centre, told of the engines with most room alone. */
  readonly relays: readonly string[];
}

/**
 * Whom a home tells about its engines: all VMs of a small fleet; in a large one those of its own
 * data centre, and one relay in each other.
 */
export function selectViewRecipients(
  self: fleet.VmIdentity,
  members: readonly fleet.VmMember[],
): ViewRecipients {
  const live = members.filter((member) => member.state !== fleet.MemberState.Dead);
  if (live.length <= SMALL_FLEET_COUNT) return { near: live.map(nameOf), relays: [] };
  const near = live.filter((member) => member.dataCentre === self.dataCentre).map(nameOf);
  const dataCentres = new Set(live.map((member) => member.dataCentre));
  dataCentres.delete(self.dataCentre);
  const relays = [...dataCentres].flatMap((dataCentre) => relayOf(dataCentre, live) ?? []);
  return { near, relays };
}

/** Whether a VM passes on to its data centre what it hears from others. */
export function isRelay(self: fleet.VmIdentity, members: readonly fleet.VmMember[]): boolean {
  const live = members.filter((member) => member.state !== fleet.MemberState.Dead);
  return live.length > SMALL_FLEET_COUNT && relayOf(self.dataCentre, live) === self.name;
}

function relayOf(dataCentre: string, members: readonly fleet.VmMember[]): string | null {
  const candidates = members.filter((member) => member.dataCentre === dataCentre);
  return fleet.rankByRendezvous(dataCentre, candidates)[0]?.name ?? null;
}

function nameOf(member: fleet.VmMember): string {
  return member.name;
}

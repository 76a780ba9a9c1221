import type * as catalogue from "../../catalogue/types.js";
import * as fleet from "../../fleet/index.js";

/**
 * The VM that decides about an engine: the live VM of the engine's data centre that rendezvous
 * hashing names, or of any data centre where that one has no live VM. Where no VM at all is live,
 * one that leaves still finishes what it holds.
 *
 * @param engine - the engine
 * @param members - the fleet as this VM sees it
 * @param isAvoided - VMs to pass over, such as those that do not answer
 * @returns the VM's name; null where there is none
 */
export function selectHome(
  engine: Pick<catalogue.EngineBackend, "name" | "dataCentre">,
  members: readonly fleet.VmMember[],
  isAvoided: (vmName: string) => boolean = () => false,
): string | null {
  const reachable = members.filter((member) => !isAvoided(member.name));
  const live = reachable.filter((member) => isHomeState(member.state));
  const leaving = reachable.filter((member) => member.state === fleet.MemberState.Leaving);
  const eligible = live.length > 0 ? live : leaving;
  const local = eligible.filter((member) => member.dataCentre === engine.dataCentre);
  const candidates = local.length > 0 ? local : eligible;
  return fleet.firstByRendezvous(engine.name, candidates)?.name ?? null;
}

/** A suspect VM stays a home: a suspicion that is refuted must not move engines twice. */
function isHomeState(state: fleet.MemberState): boolean {
  return state === fleet.MemberState.Live || state === fleet.MemberState.Suspect;
}

import type * as catalogue from "../../catalogue/types.js";
import * as fleet from "../../fleet/index.js";

/**
 * Selects the home of an engine, the VM that schedules its memory, by rendezvous hashing among the
 * live and suspect VMs of the engine's data centre, or of all data centres if it has none. If no
 * VM is live or suspect, a leaving one is selected, so that it can finish its work.
 *
 * @param engine - the engine
 * @param members - the fleet as this VM sees it
 * @param isAvoided - VMs to exclude, such as those that do not answer
 * @returns the VM's name; null if there is none
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
  return fleet.selectFirstByRendezvous(engine.name, candidates)?.name ?? null;
}

/** Suspect VMs are eligible, because a refuted suspicion would change an engine's home twice. */
function isHomeState(state: fleet.MemberState): boolean {
  return state === fleet.MemberState.Live || state === fleet.MemberState.Suspect;
}

import * as constants from "../../constants.js";
import * as rankByRendezvous from "../../rankByRendezvous/index.js";
import * as types from "../../types.js";

/**
 * Selects the members of a data centre that exchange heartbeats with other data centres: live ones
 * if there are any, else others that are not dead.
 */
export function selectRelays(
  dataCentre: string,
  members: readonly types.VmMember[],
): readonly types.VmMember[] {
  const candidates = members.filter(
    (member) => member.dataCentre === dataCentre && member.state !== types.MemberState.Dead,
  );
  const live = candidates.filter((member) => member.state === types.MemberState.Live);
  const eligible = live.length > 0 ? live : candidates;
  return rankByRendezvous
    .rankByRendezvous(`relay/${dataCentre}`, eligible)
    .slice(0, constants.RELAYS_PER_DATA_CENTRE_COUNT);
}

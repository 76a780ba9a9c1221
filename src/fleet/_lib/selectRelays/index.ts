import * as constants from "../../constants.js";
import * as rank from "../../rankByRendezvous/index.js";
import * as types from "../../types.js";

/** Selects the members of a data centre that exchange heartbeats with other data centres. */
export function selectRelays(
  dataCentre: string,
  members: readonly types.VmMember[],
): readonly types.VmMember[] {
  const candidates = members.filter(
    (member) => member.dataCentre === dataCentre && member.state !== types.MemberState.Dead,
  );
  const live = candidates.filter((member) => member.state === types.MemberState.Live);
  const eligible = live.length > 0 ? live : candidates;
  return rank
    .rankByRendezvous(`relay/${dataCentre}`, eligible)
    .slice(0, constants.RELAYS_PER_DATA_CENTRE_COUNT);
}

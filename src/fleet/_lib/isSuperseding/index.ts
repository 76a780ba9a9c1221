import * as constants from "../../constants.js";
import * as types from "../../types.js";

/** Within one incarnation a state is replaced only by one of a higher rank. */
const STATE_RANKS: Readonly<Record<types.MemberState, number>> = {
  [types.MemberState.Live]: 0,
  [types.MemberState.Suspect]: 1,
  [types.MemberState.Leaving]: 2,
  [types.MemberState.Dead]: 3,
};

const MS_PER_SECOND = 1_000;

/**
 * Whether news about a member replaces what is known of it. The order is total, so every VM
 * that has had the same news in any order believes the same.
 */
export function isSuperseding(news: types.VmMember, known: types.VmMember): boolean {
  if (news.incarnation !== known.incarnation) return news.incarnation > known.incarnation;
  return STATE_RANKS[news.state] > STATE_RANKS[known.state];
}

/** The process of a VM that an incarnation belongs to; a later start gives a higher number. */
export function processOf(incarnation: number): number {
  return Math.floor(incarnation / constants.INCARNATIONS_PER_PROCESS);
}

/** The first incarnation of a process. */
export function firstIncarnation(startedAtWallMs: number): number {
  return Math.floor(startedAtWallMs / MS_PER_SECOND) * constants.INCARNATIONS_PER_PROCESS;
}

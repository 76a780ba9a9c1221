import * as constants from "../../constants.js";
import * as types from "../../types.js";

/** Within one incarnation, a state is superseded only by one of a higher rank. */
const STATE_RANKS: Readonly<Record<types.MemberState, number>> = {
  [types.MemberState.Live]: 0,
  [types.MemberState.Suspect]: 1,
  [types.MemberState.Leaving]: 2,
  [types.MemberState.Dead]: 3,
};

const MS_PER_SECOND = 1_000;

/**
 * Whether a member's record supersedes the known one. The order is total, so VMs that receive the
 * same updates in any order converge to the same state.
 */
export function isSuperseding(update: types.VmMember, known: types.VmMember): boolean {
  if (update.incarnation !== known.incarnation) return update.incarnation > known.incarnation;
  return STATE_RANKS[update.state] > STATE_RANKS[known.state];
}

/** Returns the number of the process to which an incarnation belongs; it grows with start time. */
export function processOf(incarnation: number): number {
  return Math.floor(incarnation / constants.INCARNATIONS_PER_PROCESS);
}

/** Returns the first incarnation of a process, from its start by the wall clock. */
export function firstIncarnation(startedAtWallMs: number): number {
  return Math.floor(startedAtWallMs / MS_PER_SECOND) * constants.INCARNATIONS_PER_PROCESS;
}

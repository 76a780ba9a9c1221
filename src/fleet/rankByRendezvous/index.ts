import * as rendezvousWeight from "../_lib/rendezvousWeight/index.js";

interface Weighed<T> {
  readonly member: T;
  readonly weight: number;
}

/**
 * Ranks members for a key by rendezvous hashing: when a member comes or goes, only the keys
 * that it is first for move.
 *
 * @param key - what is placed, e.g. an engine's name
 * @param members - candidates; every VM that passes the same ones gets the same order
 * @returns the members, the first choice first
 */
export function rankByRendezvous<T extends { readonly name: string }>(
  key: string,
  members: readonly T[],
): readonly T[] {
  const keyHash = rendezvousWeight.hashName(key);
  const weighed = members.map((member): Weighed<T> => {
    return { member, weight: rendezvousWeight.rendezvousWeight(keyHash, member) };
  });
  return weighed.sort(compareWeighed).map(({ member }) => member);
}

function compareWeighed<T extends { readonly name: string }>(
  left: Weighed<T>,
  right: Weighed<T>,
): number {
  return right.weight - left.weight || (left.member.name < right.member.name ? -1 : 1);
}

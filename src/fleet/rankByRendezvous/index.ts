import * as rendezvousWeight from "../_lib/rendezvousWeight/index.js";

interface Weighed<T> {
  readonly member: T;
  readonly weight: number;
}

/**
 * Ranks members for a key by rendezvous hashing: when a member is added or removed, the first
 * member changes only for keys for which that member ranks first.
 *
 * @param key - the name of the item to be assigned, e.g. of an engine
 * @param members - the candidates; the order is the same at every VM that passes the same ones
 * @returns the members in descending order of preference
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
